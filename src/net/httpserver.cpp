#include "net/httpserver.h"

#include "core/errorkind.h"
#include "net/requestchecks.h"
#include "net/socket.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <unordered_set>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

namespace figpulley::net
{
namespace
{
using namespace std::chrono_literals;

// Interval between two checks for disconnected clients. It is a fifth of the guaranteed detection time.
constexpr core::Duration disconnectSweepInterval = 100ms;
constexpr core::Duration minIdleSweepDelay = 1s; // minimum delay, and so the precision with which idle connections are closed
constexpr int maxRunsPerCallback = 16;
constexpr std::size_t streamBlockBytes = 32UL * 1024UL;
} // namespace

class HttpServer::Implementation
{
public:
    class Exchange;

    Implementation(EventLoop &loop, const Address &address, Handler handler, HttpServerLimits limits);
    ~Implementation();

    static MHD_Result onAccess(void *context, MHD_Connection *connection, const char *url, const char *method, const char *version,
                               const char *data, std::size_t *size, void **state);
    static void onCompleted(void *context, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);
    static void *createExchange(void *context, const char *uri, MHD_Connection *connection);
    void serve();
    void scheduleIdleSweep();
    void scheduleDisconnectSweep();
    void detectDisconnects();

    EventLoop &loop;
    Handler handler;
    HttpServerLimits limits;
    MHD_Daemon *daemon = nullptr;
    int listener = -1;
    int epollDescriptor = -1;
    bool needsRun = false; // a connection was resumed, so libmicrohttpd must run again
    bool isServing = false;
    std::unordered_set<Exchange *> suspended;
    EventLoop::TimerId disconnectTimer = EventLoop::noTimer;
    EventLoop::TimerId idleTimer = EventLoop::noTimer;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

class HttpServer::Implementation::Exchange : public HttpExchange, public std::enable_shared_from_this<HttpServer::Implementation::Exchange>
{
public:
    explicit Exchange(Implementation &server, MHD_Connection *connection)
        : server(&server)
        , connection(connection)
    {
    }

    ~Exchange() override
    {
        if (this->response != nullptr) {
            MHD_destroy_response(this->response);
        }
    }

    [[nodiscard]] const HttpRequest &request() const noexcept override
    {
        return this->httpRequest;
    }

    void respond(HttpResponse httpResponse) override
    {
        if (this->isClosed || this->response != nullptr) {
            return;
        }
        this->status = httpResponse.status;
        const auto &body = httpResponse.sharedBody ? *httpResponse.sharedBody : httpResponse.body;
        this->response = MHD_create_response_from_buffer(body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
        this->addHeaders(httpResponse.headers);
        this->resume();
    }

    void respondFrom(int responseStatus, Headers headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> source) override
    {
        if (this->isClosed || this->response != nullptr) {
            source->abandon();
            return;
        }
        this->status = responseStatus;
        this->pipe = std::move(source);
        this->pipe->onReadable = [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->resume();
            }
        };
        this->response =
            MHD_create_response_from_callback(size ? *size : MHD_SIZE_UNKNOWN, streamBlockBytes, &Exchange::readBody, this, nullptr);
        this->addHeaders(headers);
        this->resume();
    }

    [[nodiscard]] std::string peerIp() const override
    {
        if (this->isClosed) {
            return {};
        }
        const auto *info = MHD_get_connection_info(this->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        const auto *peer = info != nullptr ? reinterpret_cast<const sockaddr_in *>(info->client_addr) : nullptr;
        std::array<char, INET_ADDRSTRLEN> text {};
        if (peer == nullptr || inet_ntop(AF_INET, &peer->sin_addr, text.data(), text.size()) == nullptr) {
            return {};
        }
        return text.data();
    }

    void onCancelled(std::function<void()> callback) override
    {
        this->cancelCallback = std::move(callback);
    }

    static ssize_t readBody(void *context, std::uint64_t /*position*/, char *target, std::size_t size)
    {
        auto &self = *static_cast<Exchange *>(context);
        const auto copied = self.pipe->pull(target, size);
        if (copied > 0) {
            return static_cast<ssize_t>(copied);
        }
        if (self.isClientDisconnected) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (self.pipe->isFinished()) {
            return self.pipe->isComplete() ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
        }
        self.suspend();
        return 0;
    }

    void addHeaders(const Headers &headers)
    {
        for (const auto &header : headers) {
            MHD_add_response_header(this->response, header.name.c_str(), header.value.c_str());
        }
    }

    void suspend()
    {
        if (!this->isSuspended) {
            this->isSuspended = true;
            this->server->suspended.insert(this);
            this->server->scheduleDisconnectSweep();
            MHD_suspend_connection(this->connection);
        }
    }

    void resume()
    {
        if (this->isSuspended && !this->isClosed) {
            this->isSuspended = false;
            this->server->suspended.erase(this);
            MHD_resume_connection(this->connection);
            this->server->needsRun = true;
        }
    }

    // Responds with an error if the headers alone make the request invalid, before any of the body is read.
    bool rejectByHeaders();

    [[nodiscard]] MHD_Result sendResponse()
    {
        return MHD_queue_response(this->connection, static_cast<unsigned>(this->status), this->response);
    }

    // Handles a client that disconnected while its request is being processed.
    void handleClientDisconnect()
    {
        if (this->isClientDisconnected) {
            return;
        }
        this->isClientDisconnected = true;
        if (this->response == nullptr && this->cancelCallback) {
            const auto callback = std::exchange(this->cancelCallback, nullptr);
            callback();
        }
        if (this->pipe) {
            this->pipe->abandon();
        }
        if (this->response == nullptr) {
            constexpr int clientClosedRequest = 499;
            this->respond({clientClosedRequest, {}, {}});
        } else {
            this->resume();
        }
    }

    Implementation *server;
    MHD_Connection *connection;
    HttpRequest httpRequest;
    MHD_Response *response = nullptr;
    std::shared_ptr<BodyPipe> pipe;
    std::function<void()> cancelCallback;
    int status = 0;
    bool isTooLarge = false;
    bool isHandled = false;
    bool isSuspended = false;
    bool isClosed = false;
    bool isClientDisconnected = false;
};

namespace
{
MHD_Result appendHeader(void *context, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    static_cast<Headers *>(context)->push_back({name, value != nullptr ? value : ""});
    return MHD_YES;
}

std::size_t parseContentLength(const Headers &headers)
{
    const auto text = findHeader(headers, "Content-Length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

HttpResponse makeErrorResponse(core::ErrorKind kind)
{
    const auto &row = core::errorProperties(kind);
    return {row.httpStatus,
            {{"Figpulley-Kind", std::string(row.name)}, {"Figpulley-Ran", std::string(core::name(row.ran))}, {"Connection", "close"}},
            std::string(row.message) + "\n"};
}

} // namespace

bool HttpServer::Implementation::Exchange::rejectByHeaders()
{
    if (hasAmbiguousLength(this->httpRequest.headers)) {
        this->respond(makeErrorResponse(core::ErrorKind::BadRequest));
        return true;
    }
    if (parseContentLength(this->httpRequest.headers) > this->server->limits.bodyBytes) {
        this->respond(makeErrorResponse(core::ErrorKind::BodyTooLarge));
        return true;
    }
    return false;
}

void *HttpServer::Implementation::createExchange(void *context, const char *uri, MHD_Connection *connection)
{
    auto &server = *static_cast<Implementation *>(context);
    auto exchange = std::make_shared<Exchange>(server, connection);
    const std::string_view target(uri);
    const auto question = target.find('?');
    exchange->httpRequest.path = std::string(target.substr(0, question));
    exchange->httpRequest.query = question == std::string_view::npos ? std::string() : std::string(target.substr(question));
    return new std::shared_ptr<Exchange>(std::move(exchange));
}

MHD_Result HttpServer::Implementation::onAccess(void *context, MHD_Connection *connection, const char * /*url*/, const char *method,
                                                const char * /*version*/, const char *data, std::size_t *size, void **state)
{
    auto &server = *static_cast<Implementation *>(context);
    const auto exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    if (exchange->response != nullptr) {
        return exchange->sendResponse();
    }
    if (exchange->httpRequest.method.empty()) {
        exchange->httpRequest.method = method;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendHeader, &exchange->httpRequest.headers);
        return exchange->rejectByHeaders() ? exchange->sendResponse() : MHD_YES;
    }
    if (*size > 0) {
        if (exchange->httpRequest.body.size() + *size > server.limits.bodyBytes) {
            exchange->isTooLarge = true;
        } else {
            exchange->httpRequest.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (!exchange->isHandled) {
        exchange->isHandled = true;
        if (exchange->isTooLarge) {
            exchange->respond(makeErrorResponse(core::ErrorKind::BodyTooLarge));
        } else {
            server.handler(exchange);
        }
    }
    if (exchange->response != nullptr) {
        return exchange->sendResponse();
    }
    exchange->suspend();
    return MHD_YES;
}

void HttpServer::Implementation::onCompleted(void * /*context*/, MHD_Connection * /*connection*/, void **state,
                                             MHD_RequestTerminationCode code)
{
    auto *holder = static_cast<std::shared_ptr<Exchange> *>(*state);
    if (holder == nullptr) {
        return;
    }
    const auto exchange = *holder;
    delete holder;
    *state = nullptr;
    exchange->isClosed = true;
    exchange->server->suspended.erase(exchange.get());
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        return;
    }
    if (exchange->pipe) {
        exchange->pipe->abandon();
    }
    if (exchange->response == nullptr && exchange->cancelCallback) {
        std::exchange(exchange->cancelCallback, nullptr)();
    }
}

HttpServer::Implementation::Implementation(EventLoop &loop, const Address &address, Handler handler, HttpServerLimits limits)
    : loop(loop)
    , handler(std::move(handler))
    , limits(limits)
    , listener(openListener(address))
{
    this->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &Implementation::onAccess, this,
                                    MHD_OPTION_LISTEN_SOCKET, this->listener, MHD_OPTION_NOTIFY_COMPLETED, &Implementation::onCompleted,
                                    this, MHD_OPTION_URI_LOG_CALLBACK, &Implementation::createExchange, this, MHD_OPTION_CONNECTION_LIMIT,
                                    static_cast<unsigned>(limits.connections), MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.headerBytes,
                                    MHD_OPTION_CONNECTION_TIMEOUT, limits.idleSeconds, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
    if (this->daemon == nullptr) {
        close(this->listener);
        throw std::runtime_error(fmt::format("cannot start the HTTP server on {}", address.toString()));
    }
    this->epollDescriptor = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    this->loop.watch(this->epollDescriptor, true, false, [this](bool, bool) { this->serve(); });
    this->loop.onIterationEnd([this, serverLifetime = std::weak_ptr<bool>(this->lifetime)] {
        if (!serverLifetime.expired() && this->needsRun) {
            this->serve();
        }
    });
}

HttpServer::Implementation::~Implementation()
{
    this->lifetime.reset();
    this->loop.cancel(this->disconnectTimer);
    this->loop.cancel(this->idleTimer);
    this->loop.unwatch(this->epollDescriptor);
    const auto suspendedExchanges = this->suspended;
    for (auto *exchange : suspendedExchanges) {
        exchange->cancelCallback = nullptr;
        exchange->resume();
    }
    MHD_stop_daemon(this->daemon);
}

void HttpServer::Implementation::serve()
{
    if (this->isServing) {
        this->needsRun = true;
        return;
    }
    this->isServing = true;
    for (int run = 0; run < maxRunsPerCallback; ++run) {
        this->needsRun = false;
        MHD_run(this->daemon);
        MHD_UNSIGNED_LONG_LONG wait = 0;
        const bool isReadyNow = MHD_get_timeout(this->daemon, &wait) == MHD_YES && wait == 0;
        if (!isReadyNow && !this->needsRun) {
            break;
        }
    }
    this->isServing = false;
    this->scheduleIdleSweep();
}

// Schedules the next run of libmicrohttpd, which closes idle connections only while it runs. Without connections it needs no timer.
void HttpServer::Implementation::scheduleIdleSweep()
{
    MHD_UNSIGNED_LONG_LONG wait = 0;
    if (this->idleTimer != EventLoop::noTimer || MHD_get_timeout(this->daemon, &wait) != MHD_YES) {
        return;
    }
    const core::Duration delay = std::max<core::Duration>(minIdleSweepDelay, std::chrono::milliseconds(wait));
    this->idleTimer = this->loop.callAfter(delay, [this] {
        this->idleTimer = EventLoop::noTimer;
        this->serve();
    });
}

void HttpServer::Implementation::scheduleDisconnectSweep()
{
    if (this->disconnectTimer == EventLoop::noTimer) {
        this->disconnectTimer = this->loop.callAfter(disconnectSweepInterval, [this] {
            this->disconnectTimer = EventLoop::noTimer;
            this->detectDisconnects();
        });
    }
}

// Polls suspended connections for clients that disconnected. libmicrohttpd does not read them, so it does not detect this itself.
void HttpServer::Implementation::detectDisconnects()
{
    if (this->suspended.empty()) {
        return;
    }
    this->scheduleDisconnectSweep();
    std::vector<std::weak_ptr<Exchange>> exchanges;
    std::vector<pollfd> descriptors;
    exchanges.reserve(this->suspended.size());
    descriptors.reserve(this->suspended.size());
    for (auto *exchange : this->suspended) {
        const auto *info = MHD_get_connection_info(exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        exchanges.push_back(exchange->weak_from_this());
        descriptors.push_back({info->connect_fd, POLLRDHUP, 0});
    }
    if (poll(descriptors.data(), descriptors.size(), 0) <= 0) {
        return;
    }
    for (std::size_t index = 0; index < descriptors.size(); ++index) {
        const auto exchange = exchanges[index].lock();
        if (descriptors[index].revents != 0 && exchange && exchange->isSuspended) {
            exchange->handleClientDisconnect();
        }
    }
}

HttpServer::HttpServer(EventLoop &loop, const Address &address, Handler handler, HttpServerLimits limits)
    : implementation(std::make_unique<Implementation>(loop, address, std::move(handler), limits))
{
}

HttpServer::~HttpServer() = default;

Address HttpServer::address() const
{
    return localAddress(this->implementation->listener);
}

void HttpServer::stopAccepting()
{
    const auto quiescedListener = MHD_quiesce_daemon(this->implementation->daemon);
    if (quiescedListener != MHD_INVALID_SOCKET) {
        close(quiescedListener);
    }
}
} // namespace figpulley::net
