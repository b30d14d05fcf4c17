#pragma once

// Stand-ins of the second review: a small HTTP server and client on loopback, the platform's store, endpoints, and node processes that are
// started with the command of the deploy file.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review
{
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds since the start of the case.
std::int64_t elapsedMs();
/// Unix milliseconds.
std::int64_t unixMs();
void sleepMs(std::int64_t milliseconds);

/// Writes lines to the record file of a case and to standard output.
class Record
{
public:
    static void open(const std::string &path);
    static void line(const std::string &text);
};

struct Address
{
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const;
};

/// Returns a port that is free on a loopback address.
int freePort(const std::string &ip);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string &name) const;
};

struct Reply
{
    int status = 0; ///< 0 if there was no response
    Headers headers;
    std::string body;
    std::string failure; ///< reason for which there is no complete response
    bool isClosing = false; ///< a server closes the connection after this response
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// HTTP server with one thread for each connection.
class Server
{
public:
    using Handler = std::function<Reply(const Request &)>;
    Server(const Address &address, Handler handler);
    ~Server();
    /// Stops listening and closes all connections.
    void close();

private:
    void acceptAll();
    void serve(int descriptor);
    Handler handler;
    int listener = -1;
    std::atomic<bool> isClosed {false};
    std::mutex mutex;
    std::vector<int> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// Sends one request on a new connection and reads the response.
Reply send(const Address &address, const Request &request, std::int64_t timeoutMs);

/// Client that keeps its connection open for many requests and opens a new one when the server closes it.
class KeptClient
{
public:
    explicit KeptClient(Address address);
    ~KeptClient();
    KeptClient(const KeptClient &) = delete;
    KeptClient &operator=(const KeptClient &) = delete;
    Reply send(const Request &request, std::int64_t timeoutMs);
    /// Number of responses received on the present connection.
    [[nodiscard]] int answeredOnConnection() const;

private:
    void close();
    Address address;
    int descriptor = -1;
    int answered = 0;
};

/// The platform's store as PROTOCOL.md describes it: objects by kind and name, conditional writes, lists and watches.
class Store
{
public:
    explicit Store(const Address &address);
    /// Writes an object as the operator does.
    void write(const std::string &kind, const std::string &name, const nlohmann::json &spec);

private:
    Reply handle(const Request &request);
    Reply list(const std::string &kind, const std::map<std::string, std::string> &query);
    Reply watch(const std::string &kind, std::int64_t revision, std::int64_t waitMs);
    Reply put(const std::string &kind, const std::string &name, const Request &request, bool isCreation);
    nlohmann::json &store(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    struct Event
    {
        std::int64_t revision;
        std::string kind;
        nlohmann::json object;
    };
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::vector<Event> events;
    std::int64_t revision = 100;
    std::unique_ptr<Server> server;
};

/// Addresses of one machine and the names that its settings state.
struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    Address inbound;
    Address outbound;
    Address ready;
    Address control;
    Address app;
    int metricsPort = 0;
};

Machine makeMachine(int number, const std::string &zone, const std::string &service);

/// Process of a node, started with the command of the deploy file and settings rendered from its template.
class Node
{
public:
    Node(Machine machine, Address store, std::string folder);
    ~Node();
    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Returns whether the process runs.
    bool isRunning();
    /// Waits until the node reports that it is ready.
    bool waitUntilReady(std::int64_t timeoutMs) const;
    /// Resident memory in bytes.
    [[nodiscard]] std::int64_t residentBytes() const;
    /// Peak of the resident memory in bytes, as the kernel counts it.
    [[nodiscard]] std::int64_t peakBytes() const;
    const Machine machine;

private:
    [[nodiscard]] std::int64_t statusBytes(const std::string &key) const;
    Address storeAddress;
    std::string folder;
    pid_t pid = -1;
};

/// One request that an endpoint has begun to run.
struct Run
{
    std::string id;
    std::int64_t beganMs;
    std::int64_t lifetime;
};

/// Endpoint beside a node. It checks X-Expect-Instance, runs requests for a time and answers with their id and a stamp.
class Endpoint
{
public:
    Endpoint(Machine machine, std::string id, int slots);
    ~Endpoint();
    /// Begins a lifetime: listens, and sends heartbeats if `isBeating`.
    void start(bool isBeating);
    /// Ends the lifetime: closes all connections.
    void stop();
    /// Sends one heartbeat; returns the status of the answer.
    int beat(const std::string &state);
    /// Sends the deregistration; returns the status of the answer.
    int deregister();
    std::vector<Run> runs();
    [[nodiscard]] std::int64_t lifetime() const;
    void setBeating(bool isOn);
    void setWorkMs(std::int64_t milliseconds);
    /// Steps the time of day that the endpoint reads at its next start.
    void stepClock(std::int64_t milliseconds);
    void setLeaving(bool isOn);
    /// Replaces how requests are answered; nullptr for the usual way.
    void setHandler(std::function<Reply(const Request &)> replaced);

private:
    Reply handle(const Request &request);
    void beatLoop();
    const Machine machine;
    const std::string id;
    const int slots;
    std::mutex mutex;
    std::vector<Run> allRuns;
    std::function<Reply(const Request &)> special;
    std::atomic<std::int64_t> born {0};
    std::atomic<std::int64_t> clockOffsetMs {0};
    std::atomic<std::int64_t> sequence {0};
    std::atomic<std::int64_t> workMs {20};
    std::atomic<bool> isBeating {false};
    std::atomic<bool> isLeaving {false};
    std::atomic<bool> isUp {false};
    std::atomic<bool> isEnding {false};
    std::unique_ptr<Server> server;
    std::thread beater;
};

/// A desired state with one host, whose routes each lead to one service.
struct RouteSpec
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeoutS = 5;
    int maxAttempts = 2;
};
nlohmann::json desiredState(int version, const std::vector<std::string> &services, const std::vector<RouteSpec> &routes);

/// Folder for settings and logs of this run, removed at the end.
std::string makeFolder();
void removeFolder(const std::string &folder);

/// Whether the case runs with its disruption: not with TROUBLE=0.
bool hasTrouble();

/// Outcome of a case, as its exit status.
enum Outcome { held = 0, broken = 1, notRun = 2 };
} // namespace review
