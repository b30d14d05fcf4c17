#include "net/relayserver.h"

#include "core/errorkind.h"
#include "core/time.h"
#include "net/messageparser.h"
#include "net/requestchecks.h"
#include "net/socket.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::net
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration timeoutSweepInterval = 500ms; // precision of the header and idle timeouts
// Time that the peer has to close the connection after the last response. Closing it earlier, with bytes unread, would reset it.
constexpr core::Duration lingerTimeout = 1s;
constexpr std::size_t streamBlockBytes = 32UL * 1024UL;
constexpr std::size_t maxCopiedBodyBytes = 16UL * 1024UL; // a longer body is written from where it stands, after the head
constexpr int maxAcceptsPerCallback = 64;
constexpr int httpBadRequest = 400;
constexpr int httpNoContent = 204;
constexpr int httpServiceUnavailable = 503;
constexpr int httpNotModified = 304;
constexpr int httpContentTooLarge = 413;
constexpr int httpHeaderTooLarge = 431;

std::string formatResponseHead(int status, const Headers &headers)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    for (const auto &header : headers) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    return head;
}

bool isBodylessStatus(int status)
{
    return status == httpNoContent || status == httpNotModified;
}
} // namespace

class RelayServer::Implementation : public std::enable_shared_from_this<RelayServer::Implementation>
{
public:
    Implementation(EventLoop &loop, const Address &address, Handler handler, RelayServerLimits limits)
        : loop(loop)
        , handler(std::move(handler))
        , limits(limits)
        , listener(openListener(address))
    {
    }

    void start()
    {
        this->loop.watch(this->listener, true, false, [weak = this->weak_from_this()](bool, bool) {
            if (const auto self = weak.lock()) {
                self->acceptPending();
            }
        });
    }

    void acceptPending();
    void scheduleTimeoutSweep();
    void closeExpired();
    void close();

    EventLoop &loop;
    Handler handler;
    RelayServerLimits limits;
    int listener;
    std::unordered_map<int, std::shared_ptr<Connection>> connections;
    EventLoop::TimerId sweepTimer = EventLoop::noTimer;
    std::size_t bufferedBytes = 0; // total size of the bodies of all requests whose response is not yet written
    bool isClosed = false;
};

/// One connection. It reads requests, passes them to the handler one at a time, and writes the responses.
class RelayServer::Connection : public std::enable_shared_from_this<RelayServer::Connection>
{
public:
    enum class State : std::uint8_t {
        Reading, ///< a request is being read, or the connection is idle between two requests
        Handling, ///< the handler is processing the request
        Writing, ///< the response is being written
        Lingering, ///< the sending side is shut down; the peer may still send
    };

    Connection(Implementation &server, int descriptor, std::string peerIp)
        : server(server)
        , descriptor(descriptor)
        , peerIp(std::move(peerIp))
        , lastProgress(core::steadyNow())
    {
        this->resetParser();
    }

    void onChange(const Readiness &readiness);
    void readAvailable();
    void parse(std::string_view bytes);
    void dispatchRequest();
    void reject(int status);
    void writeResponse(HttpResponse response);
    void startStreamedResponse(int status, const Headers &headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> source);
    void queueBody();
    void flush();
    [[nodiscard]] bool writePending(std::string_view bytes, std::size_t &position);
    void handleResponseWritten();
    void closeConnection();
    void handlePeerDisconnect();
    void resetParser();
    [[nodiscard]] bool trackBodySize();
    void releaseBodySize();
    [[nodiscard]] bool hasUnsentBytes() const noexcept;
    [[nodiscard]] bool isExpired(core::TimePoint now) const;

    Implementation &server;
    int descriptor;
    std::string peerIp;
    State state = State::Reading;
    std::unique_ptr<MessageParser<true>> parser;
    std::string input; // bytes read but not parsed
    std::string output; // bytes to write
    std::size_t written = 0; // number of bytes of the output that were written
    std::shared_ptr<const std::string> sharedBody; // body to write after the output
    std::size_t sharedBodyWritten = 0; // number of bytes of the shared body that were written
    core::Duration stallTimeout {}; // time without progress after which the present response is given up; 0 for the idle timeout
    std::shared_ptr<Exchange> exchange;
    std::shared_ptr<BodyPipe> pipe;
    core::TimePoint lastProgress; // time when bytes were last read or written, or when there were none to write
    core::TimePoint requestBeganAt {}; // time when the first bytes of the current request were read
    std::size_t bufferedBytes = 0; // size of the body of the current request
    bool isChunked = false;
    bool isBodyQueued = false; // the output contains the end of the response body
    bool isKeepAlive = true; // the connection stays open after the response
    bool hasUnreadInput = false; // the socket became readable while the connection was not reading
    bool isMoreNeeded = false; // the parser cannot go on without further bytes
    bool isContinueSent = false;
    bool isPeerClosed = false; // the peer has closed its end of the connection
    bool isClosed = false;
};

class RelayServer::Exchange : public HttpExchange, public std::enable_shared_from_this<RelayServer::Exchange>
{
public:
    explicit Exchange(const std::shared_ptr<Connection> &connection)
        : connection(connection)
    {
    }

    [[nodiscard]] const HttpRequest &request() const noexcept override
    {
        return this->httpRequest;
    }

    [[nodiscard]] std::string peerIp() const override
    {
        const auto lockedConnection = this->connection.lock();
        return lockedConnection ? lockedConnection->peerIp : std::string();
    }

    void respond(HttpResponse response) override
    {
        if (const auto lockedConnection = this->releaseConnection()) {
            lockedConnection->writeResponse(std::move(response));
        }
    }

    void respondFrom(int status, Headers headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> source) override
    {
        if (const auto lockedConnection = this->releaseConnection()) {
            lockedConnection->startStreamedResponse(status, headers, size, std::move(source));
        } else {
            source->abandon();
        }
    }

    void onCancelled(std::function<void()> callback) override
    {
        this->cancelCallback = std::move(callback);
    }

    void handleClientDisconnect()
    {
        this->connection.reset();
        if (const auto callback = std::exchange(this->cancelCallback, nullptr)) {
            callback();
        }
    }

    HttpRequest httpRequest;

private:
    // Releases the connection, so that only the first response is sent.
    std::shared_ptr<Connection> releaseConnection()
    {
        auto lockedConnection = this->connection.lock();
        this->connection.reset();
        this->cancelCallback = nullptr;
        return lockedConnection;
    }

    std::weak_ptr<Connection> connection;
    std::function<void()> cancelCallback;
};

void RelayServer::Connection::resetParser()
{
    this->parser = std::make_unique<MessageParser<true>>();
    this->parser->eager(true);
    this->isContinueSent = false;
}

void RelayServer::Connection::onChange(const Readiness &readiness)
{
    const auto keepAlive = this->shared_from_this();
    if (readiness.isWritable && this->state == State::Writing) {
        this->flush();
    }
    if (this->isClosed) {
        return;
    }
    // The loop reports a close only once, so it is stored: a client may disconnect before its request is read.
    this->isPeerClosed = this->isPeerClosed || readiness.isHungUp;
    if (readiness.isReadable || readiness.isHungUp) {
        if (this->state == State::Reading || this->state == State::Lingering) {
            this->readAvailable();
        } else if (readiness.isHungUp) {
            this->handlePeerDisconnect();
        } else {
            this->hasUnreadInput = true;
        }
    }
}

void RelayServer::Connection::readAvailable()
{
    this->hasUnreadInput = false;
    bool isDrained = false;
    while (!isDrained && !this->isClosed) {
        if (this->state != State::Reading && this->state != State::Lingering) {
            this->hasUnreadInput = true;
            return;
        }
        std::string_view bytes;
        const auto result = readSome(this->descriptor, bytes, isDrained);
        if (result == IoResult::WouldBlock) {
            return;
        }
        if (result != IoResult::Done) {
            this->handlePeerDisconnect();
            return;
        }
        if (this->state == State::Reading) {
            this->parse(bytes);
        }
    }
}

void RelayServer::Connection::parse(std::string_view bytes)
{
    this->lastProgress = core::steadyNow();
    this->input.append(bytes);
    if (!this->parser->got_some()) {
        this->requestBeganAt = this->lastProgress;
        // The limits may have changed since the previous request.
        this->parser->header_limit(static_cast<std::uint32_t>(this->server.limits.headerBytes));
        this->parser->body_limit(this->server.limits.bodyBytes);
    }
    while (this->state == State::Reading && !this->isClosed && !this->input.empty()) {
        if (this->isMoreNeeded && !this->parser->canContinueWith(this->input.size())) {
            break;
        }
        boost::beast::error_code error;
        const auto parsedBytes = this->parser->put(boost::asio::const_buffer(this->input.data(), this->input.size()), error);
        this->input.erase(0, parsedBytes);
        this->isMoreNeeded = error == boost::beast::http::error::need_more;
        if (this->isMoreNeeded) {
            break;
        }
        if (error) {
            const bool isHeaderTooLarge = error == boost::beast::http::error::header_limit;
            const bool isBodyTooLarge = error == boost::beast::http::error::body_limit;
            this->reject(isHeaderTooLarge ? httpHeaderTooLarge : isBodyTooLarge ? httpContentTooLarge : httpBadRequest);
            return;
        }
        if (!this->trackBodySize()) {
            this->reject(httpServiceUnavailable);
            return;
        }
        if (this->parser->is_done()) {
            this->dispatchRequest();
            return;
        }
        if (parsedBytes == 0) {
            break;
        }
    }
    // The parser limits the head, but neither a chunk's header nor the trailer.
    if (this->state == State::Reading && !this->isClosed && this->input.size() > this->server.limits.headerBytes) {
        this->reject(httpHeaderTooLarge);
        return;
    }
    const bool isWaitingForBody = !this->isClosed && this->state == State::Reading && this->parser->is_header_done();
    if (isWaitingForBody && !this->isContinueSent && equalsIgnoreCase(findHeader(this->parser->headers, "Expect"), "100-continue")) {
        this->isContinueSent = true;
        std::size_t sent = 0;
        static_cast<void>(writeSome(this->descriptor, "HTTP/1.1 100 Continue\r\n\r\n", sent));
    }
}

void RelayServer::Connection::dispatchRequest()
{
    if (this->isPeerClosed) {
        // The client has disconnected. If the request were started and cancelled at once, it would still reach its endpoint.
        this->closeConnection();
        return;
    }
    if (hasAmbiguousLength(this->parser->headers)) {
        this->reject(httpBadRequest);
        return;
    }
    this->state = State::Handling;
    this->isKeepAlive = this->parser->keep_alive();
    auto newExchange = std::make_shared<Exchange>(this->shared_from_this());
    auto &httpRequest = newExchange->httpRequest;
    httpRequest.method = std::move(this->parser->method);
    const std::string_view target(this->parser->target);
    const auto question = target.find('?');
    httpRequest.path = std::string(target.substr(0, question));
    httpRequest.query = question == std::string_view::npos ? std::string() : std::string(target.substr(question));
    httpRequest.headers = std::move(this->parser->headers);
    httpRequest.body = std::move(this->parser->body);
    this->exchange = newExchange;
    this->resetParser();
    this->server.handler(std::move(newExchange));
}

// Updates the total size of buffered bodies. Returns false if it exceeds the limit; the request was not passed to the handler, so it has
// not run.
bool RelayServer::Connection::trackBodySize()
{
    const auto size = this->parser->body.size();
    this->server.bufferedBytes += size - this->bufferedBytes;
    this->bufferedBytes = size;
    return this->server.bufferedBytes <= this->server.limits.maxBufferedBodyBytes || size == 0;
}

void RelayServer::Connection::releaseBodySize()
{
    this->server.bufferedBytes -= std::exchange(this->bufferedBytes, 0);
}

void RelayServer::Connection::reject(int status)
{
    this->isKeepAlive = false;
    this->writeResponse({status, status == httpServiceUnavailable ? Headers {{"Retry-After", "1"}} : Headers {}, {}});
}

void RelayServer::Connection::writeResponse(HttpResponse response)
{
    const bool isHeadRequest = this->exchange && this->exchange->httpRequest.method == "HEAD";
    this->state = State::Writing;
    this->isBodyQueued = true;
    this->stallTimeout = response.stallTimeout;
    this->isKeepAlive = this->isKeepAlive && !equalsIgnoreCase(findHeader(response.headers, "Connection"), "close");
    this->output = formatResponseHead(response.status, response.headers);
    if (!this->isKeepAlive && findHeader(response.headers, "Connection").empty()) {
        this->output.append("Connection: close\r\n");
    }
    const auto bodySize = response.sharedBody ? response.sharedBody->size() : response.body.size();
    if (!isBodylessStatus(response.status)) {
        this->output.append(fmt::format("Content-Length: {}\r\n", bodySize));
    }
    this->output.append("\r\n");
    if (!isHeadRequest && !isBodylessStatus(response.status)) {
        if (!response.sharedBody && bodySize > maxCopiedBodyBytes) {
            response.sharedBody = std::make_shared<const std::string>(std::move(response.body));
        }
        if (response.sharedBody) {
            this->sharedBody = std::move(response.sharedBody);
            this->sharedBodyWritten = 0;
        } else {
            this->output.append(response.body);
        }
    }
    this->flush();
}

void RelayServer::Connection::startStreamedResponse(int status, const Headers &headers, std::optional<std::size_t> size,
                                                    std::shared_ptr<BodyPipe> source)
{
    this->state = State::Writing;
    this->isBodyQueued = false;
    this->isChunked = !size.has_value();
    this->isKeepAlive = this->isKeepAlive && !equalsIgnoreCase(findHeader(headers, "Connection"), "close");
    this->output = formatResponseHead(status, headers);
    this->output.append(size ? fmt::format("Content-Length: {}\r\n\r\n", *size) : std::string("Transfer-Encoding: chunked\r\n\r\n"));
    this->pipe = std::move(source);
    this->pipe->onReadable = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->queueBody();
        }
    };
    this->queueBody();
}

// Moves bytes from the body pipe to the output until as many are unsent as a pipe may buffer, because the client reads too slowly.
void RelayServer::Connection::queueBody()
{
    if (!this->pipe || this->isClosed) {
        return;
    }
    const auto keepAlive = this->shared_from_this();
    if (!this->hasUnsentBytes()) {
        this->lastProgress = core::steadyNow(); // the client has had nothing to read until now
    }
    const auto maxPendingBytes = BodyPipe::highWaterMark();
    // Without this, the output of a client that never catches up would grow by all that it has read.
    if (this->written >= this->output.size() - this->written) {
        this->output.erase(0, std::exchange(this->written, 0));
    }
    std::array<char, streamBlockBytes> block;
    while (this->output.size() - this->written < maxPendingBytes) {
        const auto size = this->pipe->pull(block.data(), block.size());
        if (size == 0) {
            break;
        }
        if (this->isChunked) {
            this->output.append(fmt::format("{:x}\r\n", size));
        }
        this->output.append(block.data(), size);
        if (this->isChunked) {
            this->output.append("\r\n");
        }
    }
    if (this->pipe->isFinished() && this->pipe->isEmpty() && !this->isBodyQueued) {
        if (!this->pipe->isComplete()) {
            // Closes the connection, so that the client does not take the response for complete.
            this->flush();
            this->isKeepAlive = false;
            this->closeConnection();
            return;
        }
        this->output.append(this->isChunked ? "0\r\n\r\n" : "");
        this->isBodyQueued = true;
    }
    this->flush();
}

// Writes the bytes after a position as far as the socket takes them. Returns false if bytes are left or the connection has ended.
bool RelayServer::Connection::writePending(std::string_view bytes, std::size_t &position)
{
    while (position < bytes.size()) {
        std::size_t sent = 0;
        const auto result = writeSome(this->descriptor, bytes.substr(position), sent);
        if (result == IoResult::WouldBlock) {
            return false;
        }
        if (result != IoResult::Done) {
            this->handlePeerDisconnect();
            return false;
        }
        position += sent;
        this->lastProgress = core::steadyNow();
    }
    return true;
}

void RelayServer::Connection::flush()
{
    if (!this->writePending(this->output, this->written)) {
        return;
    }
    this->output.clear();
    this->written = 0;
    // Held here, as the connection gives it up if the peer has disconnected.
    if (const auto body = this->sharedBody; body && !this->writePending(*body, this->sharedBodyWritten)) {
        return;
    }
    this->sharedBody.reset();
    if (this->isBodyQueued) {
        this->handleResponseWritten();
    } else if (this->pipe && !this->pipe->isEmpty()) {
        this->queueBody();
    }
}

void RelayServer::Connection::handleResponseWritten()
{
    this->exchange.reset();
    this->pipe.reset();
    this->releaseBodySize();
    this->stallTimeout = {};
    this->isBodyQueued = false;
    if (!this->isKeepAlive) {
        shutdown(this->descriptor, SHUT_WR);
        this->state = State::Lingering;
        this->lastProgress = core::steadyNow();
        this->readAvailable();
        return;
    }
    this->state = State::Reading;
    this->lastProgress = core::steadyNow();
    if (!this->input.empty() || this->hasUnreadInput) {
        // Continues from the event loop, so that a series of pipelined requests does not grow the stack.
        this->server.loop.post([weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (self && !self->isClosed && self->state == State::Reading) {
                self->parse({});
                if (self->state == State::Reading && !self->isClosed) {
                    self->readAvailable();
                }
            }
        });
    }
}

void RelayServer::Connection::handlePeerDisconnect()
{
    const auto keepAlive = this->shared_from_this();
    const auto pendingExchange = this->exchange;
    const auto source = this->pipe;
    this->closeConnection();
    if (pendingExchange) {
        pendingExchange->handleClientDisconnect();
    }
    if (source) {
        source->abandon();
    }
}

void RelayServer::Connection::closeConnection()
{
    if (this->isClosed) {
        return;
    }
    this->isClosed = true;
    this->releaseBodySize();
    this->exchange.reset();
    this->sharedBody.reset();
    if (this->pipe) {
        this->pipe->onReadable = nullptr;
        this->pipe.reset();
    }
    this->server.loop.unwatch(this->descriptor);
    ::close(this->descriptor);
    this->server.connections.erase(this->descriptor);
}

bool RelayServer::Connection::hasUnsentBytes() const noexcept
{
    return this->written < this->output.size() || (this->sharedBody && this->sharedBodyWritten < this->sharedBody->size());
}

bool RelayServer::Connection::isExpired(core::TimePoint now) const
{
    const auto age = now - this->lastProgress;
    switch (this->state) {
    case State::Reading:
        if (!this->parser->got_some()) {
            return age > this->server.limits.idleTimeout;
        }
        return (this->parser->is_header_done() ? age : now - this->requestBeganAt) > this->server.limits.headerTimeout;
    case State::Lingering:
        return age > lingerTimeout;
    case State::Writing:
        // While there is nothing to write, the source of the response is silent, not the client.
        return this->hasUnsentBytes() && age > (this->stallTimeout.count() > 0 ? this->stallTimeout : this->server.limits.idleTimeout);
    case State::Handling:
        return false;
    }
    return false;
}

void RelayServer::Implementation::acceptPending()
{
    for (int accepted = 0; accepted < maxAcceptsPerCallback; ++accepted) {
        std::string peerIp;
        const int descriptor = acceptConnection(this->listener, peerIp);
        if (descriptor < 0) {
            break;
        }
        auto connection = std::make_shared<Connection>(*this, descriptor, std::move(peerIp));
        this->connections[descriptor] = connection;
        this->loop.watchEdgeTriggered(descriptor, [weak = std::weak_ptr<Connection>(connection)](const Readiness &readiness) {
            if (const auto lockedConnection = weak.lock()) {
                lockedConnection->onChange(readiness);
            }
        });
    }
    this->scheduleTimeoutSweep();
}

void RelayServer::Implementation::scheduleTimeoutSweep()
{
    if (this->sweepTimer != EventLoop::noTimer || this->connections.empty()) {
        return;
    }
    this->sweepTimer = this->loop.callAfter(timeoutSweepInterval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->sweepTimer = EventLoop::noTimer;
            self->closeExpired();
        }
    });
}

void RelayServer::Implementation::closeExpired()
{
    const auto now = core::steadyNow();
    std::vector<std::shared_ptr<Connection>> expired;
    for (const auto &[descriptor, connection] : this->connections) {
        if (connection->isExpired(now)) {
            expired.push_back(connection);
        }
    }
    for (const auto &connection : expired) {
        connection->handlePeerDisconnect();
    }
    this->scheduleTimeoutSweep();
}

void RelayServer::Implementation::close()
{
    this->isClosed = true;
    this->loop.cancel(this->sweepTimer);
    this->loop.unwatch(this->listener);
    ::close(this->listener);
    const auto openConnections = this->connections;
    for (const auto &[descriptor, connection] : openConnections) {
        connection->closeConnection();
    }
}

RelayServer::RelayServer(EventLoop &loop, const Address &address, Handler handler, RelayServerLimits limits)
    : implementation(std::make_shared<Implementation>(loop, address, std::move(handler), limits))
{
    this->implementation->start();
}

RelayServer::~RelayServer()
{
    this->implementation->close();
}

Address RelayServer::address() const
{
    return localAddress(this->implementation->listener);
}

std::size_t RelayServer::unsentResponses() const noexcept
{
    const auto &connections = this->implementation->connections;
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(),
                                                  [](const auto &entry) { return entry.second->state == Connection::State::Writing; }));
}

void RelayServer::setLimits(const RelayServerLimits &limits)
{
    this->implementation->limits = limits;
}
} // namespace figpulley::net
