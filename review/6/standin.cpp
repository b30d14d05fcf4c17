#include "standin.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{
const Clock::time_point caseStart = Clock::now();
std::ofstream recordFile;
std::mutex recordMutex;
std::mutex startedMutex;
std::vector<pid_t> started; // processes that have not been waited for

// Ends the processes that a case has left, also if it stops early.
void killStarted()
{
    const std::lock_guard lock(startedMutex);
    for (const auto pid : started) {
        ::kill(pid, SIGKILL);
    }
}

void registerStarted(pid_t pid)
{
    static const int isRegistered = std::atexit(&killStarted);
    static_cast<void>(isRegistered);
    const std::lock_guard lock(startedMutex);
    started.push_back(pid);
}

void forgetStarted(pid_t pid)
{
    const std::lock_guard lock(startedMutex);
    std::erase(started, pid);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
    return text;
}

std::string findHeader(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

bool writeAll(int descriptor, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto size = ::send(descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

// Reads HTTP messages from a connection.
class Reader
{
public:
    explicit Reader(int descriptor)
        : descriptor(descriptor)
    {
    }

    bool fill()
    {
        std::array<char, 65536> block;
        const auto size = recv(this->descriptor, block.data(), block.size(), 0);
        if (size <= 0) {
            return false;
        }
        this->input.append(block.data(), static_cast<std::size_t>(size));
        return true;
    }

    bool readHead(std::string &firstLine, Headers &headers)
    {
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return false;
            }
        }
        std::istringstream lines(this->input.substr(0, end));
        this->input.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        firstLine = line.substr(0, line.find('\r'));
        headers.clear();
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            headers.emplace_back(line.substr(0, colon), value);
        }
        return true;
    }

    bool readExactly(std::size_t size, std::string &body)
    {
        while (this->input.size() < size) {
            if (!this->fill()) {
                return false;
            }
        }
        body.append(this->input, 0, size);
        this->input.erase(0, size);
        return true;
    }

    bool readChunks(std::string &body)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->input.find("\r\n")) == std::string::npos) {
                if (!this->fill()) {
                    return false;
                }
            }
            const auto size = std::stoul(this->input.substr(0, end), nullptr, 16);
            this->input.erase(0, end + 2);
            std::string lineEnd;
            if (!this->readExactly(size, body) || !this->readExactly(2, lineEnd)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    bool readBody(const Headers &headers, std::string &body)
    {
        if (lower(findHeader(headers, "Transfer-Encoding")) == "chunked") {
            return this->readChunks(body);
        }
        const auto length = findHeader(headers, "Content-Length");
        return length.empty() || this->readExactly(std::stoul(length), body);
    }

private:
    int descriptor;
    std::string input;
};

int openListener(const Address &address)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto target = toSocketAddress(address);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 || listen(listener, 512) != 0) {
        std::cerr << "cannot listen on " << address.text() << ": " << strerror(errno) << "\n";
        std::exit(notRun);
    }
    return listener;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const auto question = target.find('?');
    if (question == std::string::npos) {
        return query;
    }
    std::istringstream parts(target.substr(question + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? std::string() : part.substr(equals + 1);
    }
    return query;
}

Reply jsonReply(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body.dump(), {}, false};
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
} // namespace

std::int64_t elapsedMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - caseStart).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void Record::open(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(recordMutex);
    const auto line = std::to_string(elapsedMs()) + " ms " + text + "\n";
    recordFile << line << std::flush;
    std::cout << line << std::flush;
}

std::string Address::text() const
{
    return this->ip + ":" + std::to_string(this->port);
}

int freePort(const std::string &ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    auto address = toSocketAddress({ip, 0});
    bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

std::string Request::header(const std::string &name) const
{
    return findHeader(this->headers, name);
}

std::string Reply::header(const std::string &name) const
{
    return findHeader(this->headers, name);
}

Server::Server(const Address &address, Handler handler)
    : handler(std::move(handler))
    , listener(openListener(address))
    , acceptor([this] { this->acceptAll(); })
{
}

Server::~Server()
{
    this->close();
}

void Server::acceptAll()
{
    while (!this->isClosed) {
        const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(this->mutex);
        this->open.push_back(descriptor);
        this->threads.emplace_back([this, descriptor] { this->serve(descriptor); });
    }
}

void Server::serve(int descriptor)
{
    Reader reader(descriptor);
    while (!this->isClosed) {
        Request request;
        std::string firstLine;
        if (!reader.readHead(firstLine, request.headers)) {
            break;
        }
        std::istringstream words(firstLine);
        words >> request.method >> request.target;
        if (!reader.readBody(request.headers, request.body)) {
            break;
        }
        const auto reply = this->handler(request);
        if (reply.status == 0) {
            break;
        }
        std::string bytes = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n";
        for (const auto &[name, value] : reply.headers) {
            bytes += name + ": " + value + "\r\n";
        }
        bytes += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (!writeAll(descriptor, bytes) || reply.isClosing) {
            break;
        }
    }
    const std::lock_guard lock(this->mutex);
    if (std::erase(this->open, descriptor) > 0) {
        ::close(descriptor);
    }
}

void Server::close()
{
    if (this->isClosed.exchange(true)) {
        return;
    }
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->open) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (auto &thread : this->threads) {
        thread.join();
    }
}

namespace
{
int connectTo(const Address &address, std::int64_t timeoutMs)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit {static_cast<time_t>(timeoutMs / 1000), static_cast<suseconds_t>(timeoutMs % 1000 * 1000)};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto target = toSocketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

Reply exchange(int descriptor, const Request &request, bool isKept)
{
    Reply reply;
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        head += name + ": " + value + "\r\n";
    }
    head += isKept ? "" : "Connection: close\r\n";
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    const bool isSent = writeAll(descriptor, head + "\r\n") && writeAll(descriptor, request.body);
    Reader reader(descriptor);
    std::string firstLine;
    bool isFinal = false;
    while (!isFinal && reader.readHead(firstLine, reply.headers)) {
        isFinal = firstLine.size() > 9 && firstLine[9] != '1';
    }
    if (!isFinal) {
        reply.failure = isSent ? "closed without an answer" : "closed while the request was sent";
        return reply;
    }
    reply.status = std::stoi(firstLine.substr(9, 3));
    if (!reader.readBody(reply.headers, reply.body)) {
        reply.failure = "the answer ended early";
    }
    reply.isClosing = lower(reply.header("Connection")) == "close";
    return reply;
}
} // namespace

Reply send(const Address &address, const Request &request, std::int64_t timeoutMs)
{
    const int descriptor = connectTo(address, timeoutMs);
    if (descriptor < 0) {
        return {0, {}, {}, "no connection", false};
    }
    auto reply = exchange(descriptor, request, false);
    ::close(descriptor);
    return reply;
}

KeptClient::KeptClient(Address address)
    : address(std::move(address))
{
}

KeptClient::~KeptClient()
{
    this->close();
}

void KeptClient::close()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
    this->descriptor = -1;
    this->answered = 0;
}

Reply KeptClient::send(const Request &request, std::int64_t timeoutMs)
{
    if (this->descriptor < 0) {
        this->descriptor = connectTo(this->address, timeoutMs);
    }
    if (this->descriptor < 0) {
        return {0, {}, {}, "no connection", false};
    }
    auto reply = exchange(this->descriptor, request, true);
    ++this->answered;
    if (reply.status == 0 || !reply.failure.empty() || reply.isClosing) {
        this->close();
    }
    return reply;
}

int KeptClient::answeredOnConnection() const
{
    return this->answered;
}

Store::Store(const Address &address)
    : server(std::make_unique<Server>(address, [this](const Request &request) { return this->handle(request); }))
{
}

void Store::write(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    const std::lock_guard lock(this->mutex);
    this->store(kind, name, spec);
}

// Stores an object and wakes the watches. The caller holds the lock.
nlohmann::json &Store::store(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    auto &object = this->kinds[kind][name];
    if (!object.is_null() && object["Spec"] == spec) {
        return object;
    }
    ++this->revision;
    const auto created = object.is_null() ? nlohmann::json(this->revision) : object["Metadata"]["Created"];
    object = {{"Metadata",
               {{"Name", name},
                {"Revision", this->revision},
                {"Created", created},
                {"Finalizers", nlohmann::json::array()},
                {"DeletionPending", false}}},
              {"Spec", spec},
              {"Status", nullptr}};
    this->events.push_back({this->revision, kind, object});
    this->changed.notify_all();
    return object;
}

Reply Store::handle(const Request &request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const std::string prefix = "/v1/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return jsonReply(404, nlohmann::json::object());
    }
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const auto query = parseQuery(request.target);
    if (request.method == "GET" && name.empty()) {
        return query.contains("Watch") ? this->watch(kind, std::stoll(query.at("Watch")), std::stoll(query.at("WaitMs")))
                                       : this->list(kind, query);
    }
    if (request.method == "GET") {
        const std::lock_guard lock(this->mutex);
        const auto found = this->kinds[kind].find(name);
        return found == this->kinds[kind].end() ? jsonReply(404, nlohmann::json::object()) : jsonReply(200, found->second);
    }
    return this->put(kind, name, request, request.method == "POST");
}

Reply Store::list(const std::string &kind, const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(this->mutex);
    const auto after = query.contains("after") ? query.at("after") : std::string();
    auto items = nlohmann::json::array();
    for (const auto &[name, object] : this->kinds[kind]) {
        if (name > after) {
            items.push_back(object);
        }
    }
    return jsonReply(200, {{"items", items}, {"HasMore", false}, {"CurrentRev", this->revision}});
}

Reply Store::watch(const std::string &kind, std::int64_t since, std::int64_t waitMs)
{
    std::unique_lock lock(this->mutex);
    const auto collect = [&] {
        auto found = nlohmann::json::array();
        for (const auto &event : this->events) {
            if (event.revision > since && event.kind == kind) {
                found.push_back({{"Deleted", false}, {"Object", event.object}});
            }
        }
        return found;
    };
    auto found = collect();
    const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
    while (found.empty() && this->changed.wait_until(lock, until) == std::cv_status::no_timeout) {
        found = collect();
    }
    return jsonReply(200, {{"events", found}, {"CurrentRev", this->revision}});
}

Reply Store::put(const std::string &kind, const std::string &name, const Request &request, bool isCreation)
{
    const std::lock_guard lock(this->mutex);
    const auto body = nlohmann::json::parse(request.body);
    const auto &metadata = body.at("Metadata");
    const auto target = isCreation ? metadata.at("Name").get<std::string>() : name;
    auto &objects = this->kinds[kind];
    const auto found = objects.find(target);
    if (isCreation && found != objects.end()) {
        return jsonReply(409, found->second);
    }
    if (!isCreation && found == objects.end()) {
        return jsonReply(404, nlohmann::json::object());
    }
    if (!isCreation && metadata.contains("Revision") && metadata["Revision"] != found->second["Metadata"]["Revision"]) {
        return jsonReply(409, found->second);
    }
    return jsonReply(isCreation ? 201 : 200, this->store(kind, target, body.at("Spec")));
}

Machine makeMachine(int number, const std::string &zone, const std::string &service)
{
    Machine machine;
    machine.name = "sidecar-" + zone + "-" + std::to_string(number);
    machine.zone = zone;
    machine.service = service;
    machine.ip = "127.0.2." + std::to_string(number);
    machine.inbound = {machine.ip, freePort(machine.ip)};
    machine.outbound = {machine.ip, freePort(machine.ip)};
    machine.ready = {machine.ip, freePort(machine.ip)};
    machine.control = {machine.ip, freePort(machine.ip)};
    machine.app = {machine.ip, freePort(machine.ip)};
    machine.metricsPort = freePort(machine.ip);
    return machine;
}

Node::Node(Machine machine, Address store, std::string folder)
    : machine(std::move(machine))
    , storeAddress(std::move(store))
    , folder(std::move(folder))
{
}

Node::~Node()
{
    this->kill();
}

// Renders the deploy file's template as the platform does, and starts the command of the deploy file.
void Node::start()
{
    auto text = readText("deploy/settings.jsonc");
    const auto quoted = [](const std::string &value) { return nlohmann::json(value).dump(); };
    const std::map<std::string, std::string> values {
        {"{{Node|json}}", quoted(this->machine.name)},
        {"{{Zone|json}}", quoted(this->machine.zone)},
        {"{{Service|json}}", quoted(this->machine.service)},
        {"{{Listen.Outbound|json}}", quoted(this->machine.outbound.text())},
        {"{{Listen.Inbound|json}}", quoted(this->machine.inbound.text())},
        {"{{Listen.Control|json}}", quoted(this->machine.control.text())},
        {"{{Listen.Ready|json}}", quoted(this->machine.ready.text())},
        {"{{Ip}}", this->machine.ip},
        {"{{InternalPortRange.0}}", std::to_string(this->machine.metricsPort)},
        {"{{App|json}}", quoted(this->machine.app.text())},
        {"{{Platform.Address|json}}", quoted(this->storeAddress.text())},
        {"{{HeartbeatIntervalS|json}}", "1.5"},
        {"{{Bounds.GraceS|json}}", "6"},
        {"{{Bounds.RetryBudgetRatio|json}}", "0.2"},
        {"{{Bounds.RetryBudgetSlack|json}}", "48"},
        {"{{Bounds.BudgetWindowS|json}}", "10"},
    };
    for (const auto &[placeholder, value] : values) {
        replaceAll(text, placeholder, value);
    }
    const auto settings = this->folder + "/" + this->machine.name + ".jsonc";
    std::ofstream(settings) << text;
    const auto variable = "FIGPULLEY_CONFIG=" + settings;
    const auto path = "PATH=" + std::string(std::getenv("PATH"));
    std::array<char *, 3> environment {const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr};
    std::array<char *, 3> arguments {const_cast<char *>("target/figpulley"), const_cast<char *>("mesh"), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto log = this->folder + "/" + this->machine.name + ".log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&this->pid, "target/figpulley", &actions, nullptr, arguments.data(), environment.data()) != 0) {
        std::cerr << "cannot start target/figpulley; build it as the deploy file says\n";
        std::exit(notRun);
    }
    posix_spawn_file_actions_destroy(&actions);
    registerStarted(this->pid);
}

void Node::signal(int number) const
{
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

void Node::kill()
{
    if (this->pid > 0) {
        forgetStarted(this->pid);
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

bool Node::isRunning()
{
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        forgetStarted(this->pid);
        this->pid = -1;
    }
    return this->pid > 0;
}

bool Node::waitUntilReady(std::int64_t timeoutMs) const
{
    const auto until = elapsedMs() + timeoutMs;
    while (elapsedMs() < until) {
        if (send(this->machine.ready, {"GET", "/v1/readiness", {{"Host", "node"}}, {}}, 1000).status == 200) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

std::int64_t Node::statusBytes(const std::string &key) const
{
    std::istringstream lines(readText("/proc/" + std::to_string(this->pid) + "/status"));
    std::string line;
    while (std::getline(lines, line)) {
        if (line.compare(0, key.size(), key) == 0) {
            return std::stoll(line.substr(key.size())) * 1024;
        }
    }
    return 0;
}

std::int64_t Node::residentBytes() const
{
    return this->statusBytes("VmRSS:");
}

std::int64_t Node::peakBytes() const
{
    return this->statusBytes("VmHWM:");
}

Endpoint::Endpoint(Machine machine, std::string id, int slots)
    : machine(std::move(machine))
    , id(std::move(id))
    , slots(slots)
    , beater([this] { this->beatLoop(); })
{
}

Endpoint::~Endpoint()
{
    this->isEnding = true;
    this->beater.join();
    this->stop();
}

void Endpoint::start(bool isBeatingNow)
{
    this->born = unixMs() + this->clockOffsetMs;
    this->sequence = 0;
    this->isLeaving = false;
    this->server = std::make_unique<Server>(this->machine.app, [this](const Request &request) { return this->handle(request); });
    this->isUp = true;
    this->isBeating = isBeatingNow;
}

void Endpoint::stop()
{
    this->isUp = false;
    this->isBeating = false;
    if (this->server) {
        this->server->close();
        this->server.reset();
    }
}

void Endpoint::beatLoop()
{
    while (!this->isEnding) {
        if (this->isUp && this->isBeating) {
            this->beat(this->isLeaving ? "draining" : "ready");
        }
        for (int step = 0; step < 30 && !this->isEnding; ++step) {
            sleepMs(50);
        }
    }
}

int Endpoint::beat(const std::string &state)
{
    const nlohmann::json body {{"Service", this->machine.service},
                               {"Address", this->machine.app.text()},
                               {"Zone", this->machine.zone},
                               {"Version", "v1"},
                               {"Slots", this->slots},
                               {"State", state},
                               {"ColdRemainingS", 0},
                               {"Seq", ++this->sequence},
                               {"born", this->born.load()}};
    return send(this->machine.control,
                {"POST", "/v1/Instances.Heartbeat/" + this->id, {{"Host", "node"}, {"Content-Type", "application/json"}}, body.dump()},
                1000)
        .status;
}

int Endpoint::deregister()
{
    const nlohmann::json body {{"born", this->born.load()}};
    return send(this->machine.control,
                {"POST", "/v1/Instances.Deregister/" + this->id, {{"Host", "node"}, {"Content-Type", "application/json"}}, body.dump()},
                1000)
        .status;
}

std::vector<Run> Endpoint::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->allRuns;
}

std::int64_t Endpoint::lifetime() const
{
    return this->born;
}

void Endpoint::setBeating(bool isOn)
{
    this->isBeating = isOn;
}

void Endpoint::setWorkMs(std::int64_t milliseconds)
{
    this->workMs = milliseconds;
}

void Endpoint::stepClock(std::int64_t milliseconds)
{
    this->clockOffsetMs += milliseconds;
}

void Endpoint::setLeaving(bool isOn)
{
    this->isLeaving = isOn;
}

void Endpoint::setHandler(std::function<Reply(const Request &)> replaced)
{
    const std::lock_guard lock(this->mutex);
    this->special = std::move(replaced);
}

Reply Endpoint::handle(const Request &request)
{
    const auto load = "0,0," + std::to_string(this->slots);
    if (request.method == "GET" && request.target == "/health") {
        return {this->isLeaving ? 503 : 200, {{"X-Instance-Id", this->id}, {"X-Instance-Load", load}}, {}, {}, false};
    }
    const auto requestId = request.header("X-Request-Id");
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
        return {421, {{"X-Request-Id", requestId}, {"X-Instance-Id", this->id}, {"X-Not-Run", "1"}}, {}, {}, false};
    }
    std::function<Reply(const Request &)> replaced;
    {
        const std::lock_guard lock(this->mutex);
        this->allRuns.push_back({requestId, elapsedMs(), this->born});
        replaced = this->special;
    }
    if (replaced) {
        return replaced(request);
    }
    for (std::int64_t waited = 0; waited < this->workMs && this->isUp; waited += 10) {
        sleepMs(10);
    }
    if (!this->isUp) {
        return {};
    }
    Headers headers {{"X-Request-Id", requestId}, {"X-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"}, {"X-Instance-Load", load}};
    if (this->isLeaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    return {200, headers, "done by " + this->id + "\n", {}, false};
}

nlohmann::json desiredState(int version, const std::vector<std::string> &services, const std::vector<RouteSpec> &routes)
{
    auto serviceList = nlohmann::json::array();
    for (const auto &service : services) {
        serviceList.push_back({{"Name", service}, {"HealthPath", "/health"}, {"MaxConnections", 1138}, {"Protocol", "h1"}, {"Tls", false}});
    }
    auto paths = nlohmann::json::array();
    for (const auto &route : routes) {
        paths.push_back({{"Name", route.name},
                         {"PathPrefix", route.prefix},
                         {"Kind", route.kind},
                         {"TimeoutS", route.timeoutS},
                         {"TargetLatencyS", 1.5},
                         {"Priority", 0},
                         {"Service", route.service},
                         {"MaxAttempts", route.maxAttempts}});
    }
    return {{"Version", version},
            {"Services", serviceList},
            {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 67108864}, {"HeaderTimeoutS", 3}, {"IdleTimeoutS", 15}}},
            {"VirtualHosts", {{{"Host", "bench.example"}, {"Paths", paths}}}}};
}

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "figpulley-review-XXXXXX").string();
    return mkdtemp(pattern.data());
}

void removeFolder(const std::string &folder)
{
    std::filesystem::remove_all(folder);
}

bool hasTrouble()
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}
} // namespace review
