#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

/// Stand-ins for the platform's store, for endpoints and for clients, and the start and end of node processes. All addresses are loopback
/// addresses, and the clock is the real one.
namespace review
{
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
enum Verdict : int {
    Held = 0,
    Broken = 1,
    CannotRun = 2,
};

/// Writes what was sent, answered and run to record.txt, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    [[nodiscard]] double seconds() const;

private:
    std::FILE *file;
    Clock::time_point started = Clock::now();
    std::mutex mutex;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

[[nodiscard]] std::string findHeader(const Headers &headers, std::string_view name);

/// Blocking TCP connection with a read buffer.
class Stream
{
public:
    explicit Stream(int descriptor);
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    bool write(std::string_view bytes);
    /// Reads a line without its line break; nothing if the connection ended before it.
    std::optional<std::string> readLine();
    /// Reads up to `size` bytes; 0 at the end of the connection, -1 if it failed.
    long readSome(char *target, std::size_t size);
    /// Reads exactly `size` bytes unless the connection ends.
    bool readExactly(std::string &target, std::size_t size);
    void closeNow();
    /// Closes the connection with a reset.
    void reset();
    /// Ends the blocking calls of another thread.
    void interrupt() const;
    [[nodiscard]] int descriptor() const;

private:
    int socket;
    std::string buffer;
    std::size_t offset = 0;
};

struct Request
{
    std::string method;
    std::string path;
    std::string query;
    Headers headers;
    std::size_t bodyLength = 0;
};

/// Reads the head of a request. Requests of nodes always state the length of their body.
[[nodiscard]] std::optional<Request> readRequestHead(Stream &stream);

/// Accepts connections on a free port and serves each on a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Stream &)>;

    explicit Listener(Handler handler, std::uint16_t port = 0, int receiveBufferBytes = 0);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void closeConnections();

private:
    void accept();

    Handler handler;
    std::uint16_t boundPort = 0; // set while the socket is made
    int socket;
    std::atomic<bool> isStopped {false};
    std::mutex mutex;
    std::list<Stream *> streams;
    std::condition_variable ended;
    int activeThreads = 0;
    std::thread acceptor;
};

/// The platform's metadata store: objects by kind and name, conditional writes, lists and watches.
class Store
{
public:
    explicit Store(Record &record);
    ~Store();

    [[nodiscard]] std::uint16_t port() const;
    /// Writes an object as the operator does.
    void write(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    [[nodiscard]] nlohmann::json read(const std::string &kind, const std::string &name);
    [[nodiscard]] std::vector<nlohmann::json> list(const std::string &kind);
    /// While the store is down it resets the connections of all calls and does nothing.
    void setDown(bool isDown);

private:
    struct Answer
    {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void serve(Stream &stream);
    Answer handle(const Request &request, const std::string &body);
    Answer watch(const std::string &kind, std::uint64_t after, Milliseconds wait);
    nlohmann::json put(const std::string &kind, const std::string &name, const nlohmann::json &spec);

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
    std::vector<std::pair<std::string, nlohmann::json>> history; // kind and event
    std::uint64_t revision = 1;
    bool isDown = false;
    bool isStopped = false;
    std::unique_ptr<Listener> listener;
};

/// Settings of one VM: the ports of its node, and its service.
struct Vm
{
    std::string name;
    std::string service;
    std::string zone = "zone-a";
    std::uint16_t entrance = 0;
    std::uint16_t ingress = 0;
    std::uint16_t control = 0;
    std::uint16_t readiness = 0;
    std::uint16_t metrics = 0;
    std::uint16_t upstream = 0;
};

/// A node's process, started with the command of the deploy file.
class NodeProcess
{
public:
    NodeProcess(Record &record, std::string folder, Vm vm, std::uint16_t storePort);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void signal(int number);
    /// Waits until the process has ended; returns whether it has.
    bool waitForEnd(Milliseconds limit);
    [[nodiscard]] pid_t id() const;
    [[nodiscard]] const Vm &vm() const;

private:
    Record &record;
    std::string folder;
    Vm settings;
    std::uint16_t storePort;
    pid_t process = -1;
};

/// What a client received.
struct Response
{
    int status = 0; ///< 0 if no head of a response arrived
    Headers headers;
    std::string body;
    bool isComplete = false; ///< the body ended as its framing says
    std::string ending;
};

struct ClientOptions
{
    int receiveBufferBytes = 0; ///< 0 for the system's default
    std::size_t bytesPerSecond = 0; ///< rate at which the body is read; 0 for as fast as possible
};

/// Sends a request on a new connection and reads the response.
[[nodiscard]] Response callOnce(std::uint16_t port, const std::string &method, const std::string &host, const std::string &path,
                                const std::string &id, Milliseconds timeout, std::string_view body = {}, const ClientOptions &options = {});

/// An endpoint: serves requests by a handler and sends heartbeats to the node of its VM.
class Endpoint
{
public:
    /// Serves one request whose head was read; returns whether the connection stays open.
    using Handler = std::function<bool(Stream &, const Request &)>;

    Endpoint(Record &record, const Vm &vm, std::string id, Handler handler, int receiveBufferBytes = 0);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    void startHeartbeats();
    void stopHeartbeats();
    /// Sends the deregistration; returns whether it was acknowledged within one second.
    bool deregister();
    [[nodiscard]] const std::string &id() const;

private:
    void serve(Stream &stream);
    int sendHeartbeat();

    Record &record;
    Vm vm;
    std::string identifier;
    Handler handler;
    std::int64_t born;
    std::int64_t sequence = 0;
    std::mutex mutex;
    std::condition_variable stopped;
    bool isBeating = false;
    std::thread heartbeats;
    std::unique_ptr<Listener> listener;
};

/// Assigns free ports to a VM.
[[nodiscard]] Vm makeVm(const std::string &name, const std::string &service);

/// A desired state with one route for each given host.
struct RouteSpec
{
    std::string host;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeout = 5;
    int maxAttempts = 2;
};
[[nodiscard]] nlohmann::json makeConfig(int version, const std::vector<RouteSpec> &routes);

/// Waits until a condition holds.
bool waitUntil(Milliseconds limit, const std::function<bool()> &condition);

[[nodiscard]] bool isReady(const Vm &vm);

/// Whether the disruption of the case is to be made: TROUBLE is not 0.
[[nodiscard]] bool withTrouble();

/// Creates a temporary folder for settings and logs.
[[nodiscard]] std::string makeFolder();

[[nodiscard]] std::string okHead(const Request &request, const std::string &framing);

/// A body whose bytes differ from place to place.
[[nodiscard]] std::string makeBody(std::size_t size);

/// Answers a request with a whole body and a stamp, after reading the request's body.
/// @param header a further header line without its line break; none if empty
bool answerWhole(Stream &stream, const Request &request, const std::string &body, const std::string &header = {});
} // namespace review
