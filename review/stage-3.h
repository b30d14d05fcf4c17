// Stand-ins and process control for the cases of review/11 to review/15: a store, endpoints, clients and nodes on loopback.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace stage
{
using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point begin = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The file record.txt of the case.
class Record
{
public:
    void open(const std::string &path)
    {
        this->file = std::fopen(path.c_str(), "w");
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        if (this->file != nullptr) {
            std::fprintf(this->file, "%9.3f %s\n", now(), text);
            std::fflush(this->file);
        }
    }

private:
    std::mutex mutex;
    std::FILE *file = nullptr;
};

inline Record record;

inline std::string folder; ///< temporary folder of the case

/// The processes that the case has started.
inline std::mutex processMutex;
inline std::set<pid_t> processes;

/// Ends the case and all processes that it has started: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
[[noreturn]] inline void finish(int code, const std::string &result)
{
    {
        const std::lock_guard lock(processMutex);
        for (const pid_t process : processes) {
            ::kill(process, SIGKILL);
        }
        for (const pid_t process : processes) {
            waitpid(process, nullptr, 0);
        }
    }
    record.line("%s: %s", code == 1 ? "BROKEN" : code == 0 ? "HELD" : "COULD NOT RUN", result.c_str());
    std::printf("%s: %s\n", code == 1 ? "broken" : code == 0 ? "held" : "could not run", result.c_str());
    std::fflush(stdout);
    if (!folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    std::_Exit(code);
}

struct Address
{
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Returns an address with a port that was free a moment ago. The ports of one process are never given out twice.
inline Address freeAddress(const std::string &ip)
{
    static std::mutex mutex;
    static std::set<int> given;
    const std::lock_guard lock(mutex);
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = socketAddress({ip, 0});
        socklen_t size = sizeof address;
        const bool isBound = bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        close(descriptor);
        const int port = ntohs(address.sin_port);
        if (isBound && given.insert(port).second) {
            return {ip, port};
        }
    }
    finish(2, "no free port on " + ip);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

inline std::string find(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

/// A request or a response.
struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;

    [[nodiscard]] std::string word(int index) const
    {
        std::size_t from = 0;
        for (int at = 0; at < index; ++at) {
            from = this->startLine.find(' ', from);
            if (from == std::string::npos) {
                return {};
            }
            ++from;
        }
        return this->startLine.substr(from, this->startLine.find(' ', from) - from);
    }

    [[nodiscard]] int status() const
    {
        return std::atoi(this->word(1).c_str());
    }
};

/// One blocking connection.
class Connection
{
public:
    explicit Connection(int descriptor = -1)
        : descriptor(descriptor)
    {
        if (descriptor >= 0) {
            const int one = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        }
    }

    ~Connection()
    {
        this->close();
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool open(const Address &address, double timeout = 1)
    {
        this->close();
        this->input.clear();
        this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto target = socketAddress(address);
        if (connect(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 && errno != EINPROGRESS) {
            this->close();
            return false;
        }
        pollfd waiting {this->descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1
            || getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            this->close();
            return false;
        }
        fcntl(this->descriptor, F_SETFL, fcntl(this->descriptor, F_GETFL) & ~O_NONBLOCK);
        const int one = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return true;
    }

    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

    [[nodiscard]] bool isOpen() const
    {
        return this->descriptor >= 0;
    }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Reads more bytes; false at the end of the connection or after the timeout.
    bool readMore(double deadline)
    {
        const int waitMs = std::max(0, static_cast<int>((deadline - now()) * 1000));
        pollfd waiting {this->descriptor, POLLIN, 0};
        this->hasTimedOut = false;
        if (poll(&waiting, 1, waitMs) != 1) {
            this->hasTimedOut = true;
            return false;
        }
        char buffer[65536];
        const auto size = recv(this->descriptor, buffer, sizeof buffer, 0);
        if (size <= 0) {
            return false;
        }
        this->input.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    /// Returns whether the peer has closed the connection.
    [[nodiscard]] bool isPeerGone() const
    {
        pollfd state {this->descriptor, POLLRDHUP, 0};
        return poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /// Reads a whole message. `partial` is left with what has arrived if it does not become whole.
    std::optional<Message> read(double deadline, Message *partial = nullptr)
    {
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore(deadline)) {
                return std::nullopt;
            }
        }
        Message message;
        std::size_t at = this->input.find("\r\n");
        message.startLine = this->input.substr(0, at);
        at += 2;
        while (at < end) {
            const auto lineEnd = this->input.find("\r\n", at);
            const auto colon = this->input.find(':', at);
            auto value = this->input.substr(colon + 1, lineEnd - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(this->input.substr(at, colon - at), value);
            at = lineEnd + 2;
        }
        this->input.erase(0, end + 4);
        if (partial != nullptr) {
            *partial = message;
        }
        if (lower(find(message.headers, "Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::size_t lineEnd = 0;
                while ((lineEnd = this->input.find("\r\n")) == std::string::npos) {
                    if (!this->readMore(deadline)) {
                        return std::nullopt;
                    }
                }
                const auto size = std::strtoul(this->input.c_str(), nullptr, 16);
                while (this->input.size() < lineEnd + 2 + size + 2) {
                    if (!this->readMore(deadline)) {
                        return std::nullopt;
                    }
                }
                message.body.append(this->input, lineEnd + 2, size);
                this->input.erase(0, lineEnd + 2 + size + 2);
                if (partial != nullptr) {
                    partial->body.resize(message.body.size());
                }
                if (size == 0) {
                    return message;
                }
            }
        }
        const auto length = std::strtoul(find(message.headers, "Content-Length").c_str(), nullptr, 10);
        while (this->input.size() < length) {
            if (partial != nullptr) {
                partial->body.resize(this->input.size());
            }
            if (!this->readMore(deadline)) {
                return std::nullopt;
            }
        }
        message.body = this->input.substr(0, length);
        this->input.erase(0, length);
        return message;
    }

    int descriptor;
    bool hasTimedOut = false;
    std::string input;
};

inline std::string format(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(const Address &address, Handler handler)
        : address(address)
        , handler(std::move(handler))
    {
        this->listen();
    }

    void listen()
    {
        this->isStopped = false;
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const auto own = socketAddress(this->address);
        if (bind(this->listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 || ::listen(this->listener, 1024) != 0) {
            finish(2, "cannot listen on " + this->address.text());
        }
        this->acceptor = std::thread([this] {
            for (;;) {
                const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0 || this->isStopped) {
                    if (descriptor >= 0) {
                        ::close(descriptor);
                    }
                    return;
                }
                {
                    const std::lock_guard lock(this->mutex);
                    this->open.insert(descriptor);
                }
                std::thread([this, descriptor] {
                    {
                        Connection connection(dup(descriptor));
                        this->handler(connection);
                    }
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(descriptor);
                    ::close(descriptor);
                }).detach();
            }
        });
    }

    /// Stops listening and ends all connections.
    void stop()
    {
        if (this->isStopped.exchange(true)) {
            return;
        }
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->open) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }

    Address address;

private:
    Handler handler;
    int listener = -1;
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> open;
    std::atomic<bool> isStopped {true};
};

/// The platform's store. It answers as PROTOCOL says; while `isDown` it answers 503.
class Store
{
public:
    explicit Store(const Address &address)
        : server(address, [this](Connection &connection) { this->serve(connection); })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return this->server.address.text();
    }

    /// Writes an object as the operator does; the return is its acknowledgement.
    void write(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(this->mutex);
        this->put(kind, name, spec, json::array());
    }

    json read(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        return this->objects[kind].contains(name) ? this->objects[kind][name] : json();
    }

    std::size_t count(const std::string &kind)
    {
        const std::lock_guard lock(this->mutex);
        return this->objects[kind].size();
    }

    std::atomic<bool> isDown {false};
    std::atomic<int> era {1};

private:
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool isDeleted;
    };

    void put(const std::string &kind, const std::string &name, const json &spec, const json &finalizers)
    {
        auto &objects = this->objects[kind];
        if (objects.contains(name) && objects[name]["Spec"] == spec) {
            return;
        }
        ++this->revision;
        const auto created = objects.contains(name) ? objects[name]["Metadata"]["Created"] : json(this->revision);
        objects[name] = {
            {"Metadata",
             {{"Name", name}, {"Revision", this->revision}, {"Created", created}, {"Finalizers", finalizers}, {"DeletionPending", false}}},
            {"Spec", spec},
            {"Status", nullptr}};
        this->history.push_back({this->revision, kind, objects[name], false});
        this->changed.notify_all();
    }

    void serve(Connection &connection)
    {
        while (const auto request = connection.read(now() + 120)) {
            const auto [status, body] = this->handle(*request);
            const Headers headers {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}};
            if (!connection.write(format(status, headers, body.is_null() ? std::string("{}") : body.dump()))) {
                return;
            }
        }
    }

    std::pair<int, json> handle(const Message &request)
    {
        if (this->isDown) {
            return {503, nullptr};
        }
        const auto method = request.word(0);
        auto target = request.word(1);
        std::map<std::string, std::string> query;
        if (const auto question = target.find('?'); question != std::string::npos) {
            auto rest = target.substr(question + 1);
            target.resize(question);
            while (!rest.empty()) {
                const auto piece = rest.substr(0, rest.find('&'));
                rest.erase(0, piece.size() + 1);
                query[piece.substr(0, piece.find('='))] = piece.find('=') == std::string::npos ? "" : piece.substr(piece.find('=') + 1);
            }
        }
        constexpr std::string_view prefix = "/v1/objects/";
        if (!target.starts_with(prefix)) {
            return {404, nullptr};
        }
        auto kind = target.substr(prefix.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        std::unique_lock lock(this->mutex);
        if (method == "GET" && name.empty()) {
            return query.contains("Watch") ? this->watch(lock, kind, query) : this->list(kind, query);
        }
        if (method == "GET") {
            return this->objects[kind].contains(name) ? std::pair(200, this->objects[kind][name]) : std::pair(404, json());
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (method == "POST") {
            name = body["Metadata"]["Name"].get<std::string>();
            if (this->objects[kind].contains(name)) {
                return {409, this->objects[kind][name]};
            }
        } else if (method == "PUT") {
            if (!this->objects[kind].contains(name)) {
                return {404, nullptr};
            }
            const auto &known = this->objects[kind][name];
            if (body["Metadata"].contains("Revision") && body["Metadata"]["Revision"] != known["Metadata"]["Revision"]) {
                return {409, known};
            }
        } else {
            return {400, nullptr};
        }
        this->put(kind, name, body["Spec"], body["Metadata"].value("Finalizers", json::array()));
        return {method == "POST" ? 201 : 200, this->objects[kind][name]};
    }

    std::pair<int, json> list(const std::string &kind, std::map<std::string, std::string> &query)
    {
        json items = json::array();
        for (const auto &[name, object] : this->objects[kind]) {
            if (name > query["after"]) {
                items.push_back(object);
            }
        }
        return {200, {{"items", items}, {"HasMore", false}, {"CurrentRev", this->revision}}};
    }

    std::pair<int, json> watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::map<std::string, std::string> &query)
    {
        const auto from = std::strtoull(query["Watch"].c_str(), nullptr, 10);
        if (from > this->revision) {
            return {410, nullptr};
        }
        const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(query["WaitMs"].c_str()));
        for (;;) {
            json events = json::array();
            for (const auto &event : this->history) {
                if (event.revision > from && event.kind == kind) {
                    events.push_back({{"Object", event.object}, {"Deleted", event.isDeleted}});
                }
            }
            if (!events.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                return {200, {{"events", events}, {"CurrentRev", this->revision}}};
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, json>> objects;
    std::vector<Event> history;
    std::uint64_t revision = 10;
    Server server;
};

/// One machine: the addresses of its node and of its endpoint.
struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    Address inbound, outbound, ready, control, metrics, app;

    Machine(int number, std::string zoneName, std::string serviceName)
        : name("sidecar-" + zoneName + "-" + std::to_string(number))
        , zone(std::move(zoneName))
        , service(std::move(serviceName))
        , ip("127.0.7." + std::to_string(number))
        , inbound(freeAddress(this->ip))
        , outbound(freeAddress(this->ip))
        , ready(freeAddress(this->ip))
        , control(freeAddress(this->ip))
        , metrics(freeAddress(this->ip))
        , app(freeAddress(this->ip))
    {
    }
};

/// The node of a machine, as a process of its own.
class Node
{
public:
    Node(const Machine &machine, std::string store, double graceS = 6)
        : machine(machine)
        , store(std::move(store))
        , graceS(graceS)
    {
        const json settings {
            {"name", machine.name},
            {"availability_zone", machine.zone},
            {"service", machine.service},
            {"entrance", machine.outbound.text()},
            {"ingress", machine.inbound.text()},
            {"control", machine.control.text()},
            {"readiness", machine.ready.text()},
            {"metrics", machine.metrics.text()},
            {"upstream", machine.app.text()},
            {"store", this->store},
            {"heartbeat_interval_s", 1.5},
            {"grace_s", graceS},
            {"retry_ratio", 0.2},
            {"retry_slack", 48},
            {"retry_window_s", 10},
        };
        std::ofstream(this->settingsPath()) << settings.dump(4);
    }

    [[nodiscard]] std::string settingsPath() const
    {
        return folder + "/" + this->machine.name + ".jsonc";
    }

    void start()
    {
        const auto log = folder + "/" + this->machine.name + ".log";
        const auto settings = "FIGPULLEY_CONFIG=" + this->settingsPath();
        const std::lock_guard lock(processMutex);
        this->pid = fork();
        if (this->pid == 0) {
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            const char *path = std::getenv("FIGPULLEY_BINARY");
            const char *arguments[] = {path, "mesh", nullptr};
            const char *environment[] = {settings.c_str(), "LANG=C", nullptr};
            execve(path, const_cast<char **>(arguments), const_cast<char **>(environment));
            _exit(127);
        }
        processes.insert(this->pid);
        record.line("%s started", this->machine.name.c_str());
    }

    void kill(int signal)
    {
        if (this->pid > 0) {
            ::kill(this->pid, signal);
        }
    }

    /// Waits for the end of the process.
    void wait()
    {
        if (this->pid > 0) {
            waitpid(this->pid, nullptr, 0);
            this->forget();
        }
    }

    [[nodiscard]] bool isReady() const
    {
        Connection connection;
        if (!connection.open(this->machine.ready, 0.5) || !connection.write("GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")) {
            return false;
        }
        const auto response = connection.read(now() + 0.9);
        return response && response->status() == 200;
    }

    Machine machine;
    std::string store;
    double graceS;
    std::atomic<pid_t> pid {-1};

private:
    void forget()
    {
        const std::lock_guard lock(processMutex);
        processes.erase(this->pid);
        this->pid = -1;
    }
};

/// One endpoint: its heartbeats and what runs on it.
class Endpoint
{
public:
    /// What reached the endpoint.
    struct Arrival
    {
        double at;
        std::string id;
        std::string path;
        bool hasRun;
    };

    using Handler = std::function<void(Endpoint &, const Message &, Connection &)>;

    Endpoint(const Machine &machine, std::string id, int slots, Handler handler)
        : machine(machine)
        , id(std::move(id))
        , slots(slots)
        , born(wallMs())
        , handler(std::move(handler))
        , server(machine.app, [this](Connection &connection) { this->serve(connection); })
        , beats([this] { this->sendHeartbeats(); })
    {
    }

    void arrived(const Message &request, bool hasRun)
    {
        const auto requestId = find(request.headers, "X-Request-Id");
        {
            const std::lock_guard lock(this->mutex);
            this->arrivals.push_back({now(), requestId, request.word(1), hasRun});
        }
        record.line("endpoint %s %s %s (%s)", this->id.c_str(), hasRun ? "runs" : "rejects", requestId.c_str(), request.word(1).c_str());
    }

    [[nodiscard]] Headers answerHeaders(const Message &request) const
    {
        Headers headers {{"X-Request-Id", find(request.headers, "X-Request-Id")}, {"X-Server-Stamp", "stamp." + this->id}};
        if (this->isLeaving) {
            headers.emplace_back("Server-Leaving", "1");
        }
        return headers;
    }

    std::vector<Arrival> allArrivals()
    {
        const std::lock_guard lock(this->mutex);
        return this->arrivals;
    }

    bool post(const std::string &path, const std::string &body)
    {
        Connection connection;
        const auto head = "POST " + path
            + " HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!connection.open(this->machine.control, 0.5) || !connection.write(head + body)) {
            return false;
        }
        const auto response = connection.read(now() + 1);
        return response && response->status() / 100 == 2;
    }

    [[nodiscard]] std::string heartbeatPath() const
    {
        return "/v1/Instances.Heartbeat/" + this->id;
    }

    [[nodiscard]] std::string heartbeat(int number) const
    {
        const json body {{"Service", this->machine.service},
                         {"Address", this->machine.app.text()},
                         {"Zone", this->machine.zone},
                         {"Version", "v1"},
                         {"Slots", this->slots},
                         {"State", this->isLeaving ? "draining" : "ready"},
                         {"ColdRemainingS", 0},
                         {"Seq", number},
                         {"born", this->born}};
        return body.dump();
    }

    Machine machine;
    std::string id;
    int slots;
    std::int64_t born;
    std::atomic<int> sequence {0}; ///< of the latest heartbeat
    std::atomic<bool> isStopped {false}; ///< no further heartbeats are sent
    std::atomic<bool> isLeaving {false};

private:
    void serve(Connection &connection)
    {
        while (const auto request = connection.read(now() + 10)) {
            if (request->word(1) == "/health") {
                const Headers headers {{"X-Instance-Id", this->id}};
                if (!connection.write(format(this->isLeaving ? 503 : 200, headers, ""))) {
                    return;
                }
                continue;
            }
            const auto expected = find(request->headers, "X-Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                connection.write(format(421, {{"X-Instance-Id", this->id}, {"X-Not-Run", "1"}}, ""));
                continue;
            }
            this->handler(*this, *request, connection);
            if (!connection.isOpen()) {
                return;
            }
        }
    }

    void sendHeartbeats()
    {
        while (!this->isStopped) {
            this->post(this->heartbeatPath(), this->heartbeat(++this->sequence));
            for (int step = 0; step < 30 && !this->isStopped; ++step) {
                sleepFor(0.05);
            }
        }
    }

    Handler handler;
    std::mutex mutex;
    std::vector<Arrival> arrivals;
    Server server;
    std::thread beats;
};

inline std::string requestId()
{
    static std::atomic<std::uint64_t> next {1};
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x9c41d07b00000000ULL + next++));
    return text;
}

inline std::string formatRequest(const std::string &method, const std::string &host, const std::string &path, const std::string &id,
                                 int deadlineMs, const std::string &body = {})
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// The limits of the users' site files.
inline json siteLimits()
{
    return {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 67108864}, {"HeaderTimeoutS", 3}, {"IdleTimeoutS", 15}};
}

inline json service(const std::string &name, int connections = 1138)
{
    return {{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", connections}, {"Protocol", "h1"}, {"Tls", false}};
}

inline json route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &serviceName,
                  double timeout, int attempts = 2)
{
    return {{"Name", name},          {"PathPrefix", prefix}, {"Kind", kind},           {"TimeoutS", timeout},
            {"TargetLatencyS", 1.2}, {"Priority", 1},        {"Service", serviceName}, {"MaxAttempts", attempts}};
}

/// Waits until all nodes are ready and know the endpoints; ends the case with 2 if that does not happen.
inline void waitUntilServing(const std::vector<std::unique_ptr<Node>> &nodes, Store &store, std::size_t endpoints)
{
    const double until = now() + 20;
    for (const auto &node : nodes) {
        while (!node->isReady()) {
            if (now() > until) {
                finish(2, node->machine.name + " is not ready");
            }
            sleepFor(0.1);
        }
    }
    while (store.count("figpulley-endpoints") < endpoints) {
        if (now() > until) {
            finish(2, "the endpoints are not registered");
        }
        sleepFor(0.1);
    }
    sleepFor(4); // each node has watched the store, and all machines are in touch
}

/// Whether the disruption takes place.
inline bool isTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Prepares the folder and the record. Arguments: the folder of the case.
inline void prepare(int count, char **arguments)
{
    const char *binary = std::getenv("FIGPULLEY_BINARY");
    if (count != 2 || binary == nullptr || access(binary, X_OK) != 0) {
        finish(2, "usage: FIGPULLEY_BINARY=target/figpulley CASE FOLDER");
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const int ending : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(ending, [](int) { finish(2, "the case was ended from outside"); });
    }
    record.open(std::string(arguments[1]) + "/record.txt");
    char name[] = "/tmp/figpulley-case-XXXXXX";
    folder = mkdtemp(name);
    record.line("disruption: %s", isTrouble() ? "yes" : "no (TROUBLE=0)");
    constexpr double longestRun = 115;
    std::thread([] {
        sleepFor(longestRun);
        finish(2, "the case took too long");
    }).detach();
}
} // namespace stage
