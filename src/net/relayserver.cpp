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

constexpr core::Duration timeoutSweep = 500ms; // precision of the header and idle timeouts
constexpr core::Duration lingerTimeout = 1s; // for a peer to close after our last answer, so that unread bytes do not reset it
constexpr std::size_t streamBlock = 32UL * 1024UL;
constexpr std::size_t largestPending = 256UL * 1024UL; // bytes of an answer that wait for a slow reader before its source is held back
constexpr int acceptsPerTurn = 64;
constexpr int httpBadRequest = 400;
constexpr int httpNoContent = 204;
constexpr int httpServiceUnavailable = 503;
constexpr int httpNotModified = 304;
constexpr int httpContentTooLarge = 413;
constexpr int httpHeaderTooLarge = 431;

std::string headOf(int status, const Headers &headers)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    for (const auto &header : headers) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    return head;
}

bool hasNoBody(int status)
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
                self->acceptAll();
            }
        });
    }

    void acceptAll();
    void armSweep();
    void sweep();
    void close();

    EventLoop &loop;
    Handler handler;
    RelayServerLimits limits;
    int listener;
    std::unordered_map<int, std::shared_ptr<Connection>> connections;
    EventLoop::TimerId sweepTimer = EventLoop::noTimer;
    std::size_t heldBytes = 0; // of all bodies
    bool isClosed = false;
};

/// One connection: reads requests, hands them over one at a time, and writes their answers.
class RelayServer::Connection : public std::enable_shared_from_this<RelayServer::Connection>
{
public:
    enum class State : std::uint8_t {
        Reading, ///< of a request, or between two
        Handling, ///< the request was handed over
        Writing, ///< the answer is known
        Lingering, ///< closed towards the peer, which may still send
    };

    Connection(Implementation &server, int descriptor, std::string peerIp)
        : server(server)
        , descriptor(descriptor)
        , peerIp(std::move(peerIp))
        , since(core::steadyNow())
    {
        this->resetParser();
    }

    void onChange(const Readiness &readiness);
    void readMore();
    void consume(std::string_view bytes);
    void handOver();
    void refuse(int status);
    void answerHeld(int status, const Headers &headers, std::string_view body);
    void beginStream(int status, const Headers &headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> source);
    void pump();
    void flush();
    void answerDone();
    void end();
    void peerLeft();
    void resetParser();
    [[nodiscard]] bool holdBody();
    void releaseBody();
    [[nodiscard]] bool isExpired(core::TimePoint now) const;

    Implementation &server;
    int descriptor;
    std::string peerIp;
    State state = State::Reading;
    std::unique_ptr<MessageParser<true>> parser;
    std::string input; // read but not consumed
    std::string output; // to be written
    std::size_t written = 0; // of the output
    std::shared_ptr<Exchange> exchange;
    std::shared_ptr<BodyPipe> pipe;
    core::TimePoint since; // of the last progress
    std::size_t heldBytes = 0; // of the body of the request
    bool isChunked = false;
    bool isStreamWhole = false; // the last byte of a stream is in the output
    bool isKept = true; // after the answer
    bool hasMoreInput = false; // the socket was readable while nothing was read
    bool isContinueSent = false;
    bool isPeerGone = false; // the peer has closed its end
    bool isEnded = false;
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
        return this->content;
    }

    [[nodiscard]] std::string peerIp() const override
    {
        const auto held = this->connection.lock();
        return held ? held->peerIp : std::string();
    }

    void answer(HttpAnswer answer) override
    {
        if (const auto held = this->takeConnection()) {
            held->answerHeld(answer.status, answer.headers, answer.body);
        }
    }

    void answerFrom(int status, Headers headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> source) override
    {
        if (const auto held = this->takeConnection()) {
            held->beginStream(status, headers, size, std::move(source));
        } else {
            source->abandon();
        }
    }

    void onCancelled(std::function<void()> callback) override
    {
        this->cancelled = std::move(callback);
    }

    void callerLeft()
    {
        this->connection.reset();
        if (const auto callback = std::exchange(this->cancelled, nullptr)) {
            callback();
        }
    }

    HttpRequest content;

private:
    // Only the first answer counts.
    std::shared_ptr<Connection> takeConnection()
    {
        auto held = this->connection.lock();
        this->connection.reset();
        this->cancelled = nullptr;
        return held;
    }

    std::weak_ptr<Connection> connection;
    std::function<void()> cancelled;
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
    if (this->isEnded) {
        return;
    }
    // The loop tells of a closed end once: a caller may have sent its request and left before it was read.
    this->isPeerGone = this->isPeerGone || readiness.isHungUp;
    if (readiness.isReadable || readiness.isHungUp) {
        if (this->state == State::Reading || this->state == State::Lingering) {
            this->readMore();
        } else if (readiness.isHungUp) {
            this->peerLeft();
        } else {
            this->hasMoreInput = true;
        }
    }
}

void RelayServer::Connection::readMore()
{
    this->hasMoreInput = false;
    bool isDrained = false;
    while (!isDrained && !this->isEnded) {
        if (this->state != State::Reading && this->state != State::Lingering) {
            this->hasMoreInput = true;
            return;
        }
        std::string_view bytes;
        const auto result = readSome(this->descriptor, bytes, isDrained);
        if (result == IoResult::WouldBlock) {
            return;
        }
        if (result != IoResult::Done) {
            this->peerLeft();
            return;
        }
        if (this->state == State::Reading) {
            this->consume(bytes);
        }
    }
}

void RelayServer::Connection::consume(std::string_view bytes)
{
    this->since = core::steadyNow();
    this->input.append(bytes);
    if (!this->parser->got_some()) {
        // The limits may have changed since the request before this one.
        this->parser->header_limit(static_cast<std::uint32_t>(this->server.limits.headerBytes));
        this->parser->body_limit(this->server.limits.bodyBytes);
    }
    while (this->state == State::Reading && !this->isEnded && !this->input.empty()) {
        boost::beast::error_code error;
        const auto used = this->parser->put(boost::asio::const_buffer(this->input.data(), this->input.size()), error);
        this->input.erase(0, used);
        if (error == boost::beast::http::error::need_more) {
            if (used == 0) {
                break;
            }
            continue;
        }
        if (error) {
            const bool isTooLong = error == boost::beast::http::error::header_limit;
            const bool isTooLarge = error == boost::beast::http::error::body_limit;
            this->refuse(isTooLong ? httpHeaderTooLarge : isTooLarge ? httpContentTooLarge : httpBadRequest);
            return;
        }
        if (!this->holdBody()) {
            this->refuse(httpServiceUnavailable);
            return;
        }
        if (this->parser->is_done()) {
            this->handOver();
            return;
        }
        if (used == 0) {
            break;
        }
    }
    const bool isWaitingForBody = !this->isEnded && this->state == State::Reading && this->parser->is_header_done();
    if (isWaitingForBody && !this->isContinueSent && isSameName(findHeader(this->parser->headers, "Expect"), "100-continue")) {
        this->isContinueSent = true;
        std::size_t sent = 0;
        static_cast<void>(writeSome(this->descriptor, "HTTP/1.1 100 Continue\r\n\r\n", sent));
    }
}

void RelayServer::Connection::handOver()
{
    if (this->isPeerGone) {
        // Nobody waits for the answer any more; begun and cancelled at once, the request would still have reached its endpoint.
        this->end();
        return;
    }
    if (hasAmbiguousLength(this->parser->headers)) {
        this->refuse(httpBadRequest);
        return;
    }
    this->state = State::Handling;
    this->isKept = this->parser->keep_alive();
    auto handed = std::make_shared<Exchange>(this->shared_from_this());
    auto &content = handed->content;
    content.method = std::move(this->parser->method);
    const std::string_view target(this->parser->target);
    const auto question = target.find('?');
    content.path = std::string(target.substr(0, question));
    content.query = question == std::string_view::npos ? std::string() : std::string(target.substr(question));
    content.headers = std::move(this->parser->headers);
    content.body = std::move(this->parser->body);
    this->exchange = handed;
    this->resetParser();
    this->server.handler(std::move(handed));
}

// Counts what has arrived of the body; false when all bodies together are too large. The request was not handed over, so it has not run.
bool RelayServer::Connection::holdBody()
{
    const auto size = this->parser->body.size();
    this->server.heldBytes += size - this->heldBytes;
    this->heldBytes = size;
    return this->server.heldBytes <= this->server.limits.heldBytes || size == 0;
}

void RelayServer::Connection::releaseBody()
{
    this->server.heldBytes -= std::exchange(this->heldBytes, 0);
}

void RelayServer::Connection::refuse(int status)
{
    this->isKept = false;
    this->answerHeld(status, status == httpServiceUnavailable ? Headers {{"Retry-After", "1"}} : Headers {}, {});
}

void RelayServer::Connection::answerHeld(int status, const Headers &headers, std::string_view body)
{
    const bool isHead = this->exchange && this->exchange->content.method == "HEAD";
    this->state = State::Writing;
    this->isStreamWhole = true;
    this->isKept = this->isKept && !isSameName(findHeader(headers, "Connection"), "close");
    this->output = headOf(status, headers);
    if (!this->isKept && findHeader(headers, "Connection").empty()) {
        this->output.append("Connection: close\r\n");
    }
    if (!hasNoBody(status)) {
        this->output.append(fmt::format("Content-Length: {}\r\n", body.size()));
    }
    this->output.append("\r\n");
    if (!isHead && !hasNoBody(status)) {
        this->output.append(body);
    }
    this->flush();
}

void RelayServer::Connection::beginStream(int status, const Headers &headers, std::optional<std::size_t> size,
                                          std::shared_ptr<BodyPipe> source)
{
    this->state = State::Writing;
    this->isStreamWhole = false;
    this->isChunked = !size.has_value();
    this->isKept = this->isKept && !isSameName(findHeader(headers, "Connection"), "close");
    this->output = headOf(status, headers);
    this->output.append(size ? fmt::format("Content-Length: {}\r\n\r\n", *size) : std::string("Transfer-Encoding: chunked\r\n\r\n"));
    this->pipe = std::move(source);
    this->pipe->onReadable = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->pump();
        }
    };
    this->pump();
}

// Takes what the source of a stream has, as long as the reader keeps up.
void RelayServer::Connection::pump()
{
    if (!this->pipe || this->isEnded) {
        return;
    }
    const auto keepAlive = this->shared_from_this();
    std::array<char, streamBlock> block;
    while (this->output.size() - this->written < largestPending) {
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
    if (this->pipe->isFinished() && this->pipe->isEmpty() && !this->isStreamWhole) {
        if (!this->pipe->isWhole()) {
            // The connection is cut, so that the answer does not look whole.
            this->flush();
            this->isKept = false;
            this->end();
            return;
        }
        this->output.append(this->isChunked ? "0\r\n\r\n" : "");
        this->isStreamWhole = true;
    }
    this->flush();
}

void RelayServer::Connection::flush()
{
    while (this->written < this->output.size()) {
        std::size_t sent = 0;
        const auto result = writeSome(this->descriptor, std::string_view(this->output).substr(this->written), sent);
        if (result == IoResult::WouldBlock) {
            return;
        }
        if (result != IoResult::Done) {
            this->peerLeft();
            return;
        }
        this->written += sent;
        this->since = core::steadyNow();
    }
    this->output.clear();
    this->written = 0;
    if (this->isStreamWhole) {
        this->answerDone();
    } else if (this->pipe && !this->pipe->isEmpty()) {
        this->pump();
    }
}

void RelayServer::Connection::answerDone()
{
    this->exchange.reset();
    this->pipe.reset();
    this->releaseBody();
    this->isStreamWhole = false;
    if (!this->isKept) {
        shutdown(this->descriptor, SHUT_WR);
        this->state = State::Lingering;
        this->since = core::steadyNow();
        this->readMore();
        return;
    }
    this->state = State::Reading;
    this->since = core::steadyNow();
    if (!this->input.empty() || this->hasMoreInput) {
        // Through the loop, so that a series of requests does not grow the stack.
        this->server.loop.post([weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (self && !self->isEnded && self->state == State::Reading) {
                self->consume({});
                if (self->state == State::Reading && !self->isEnded) {
                    self->readMore();
                }
            }
        });
    }
}

void RelayServer::Connection::peerLeft()
{
    const auto keepAlive = this->shared_from_this();
    const auto left = this->exchange;
    const auto source = this->pipe;
    this->end();
    if (left) {
        left->callerLeft();
    }
    if (source) {
        source->abandon();
    }
}

void RelayServer::Connection::end()
{
    if (this->isEnded) {
        return;
    }
    this->isEnded = true;
    this->releaseBody();
    this->exchange.reset();
    if (this->pipe) {
        this->pipe->onReadable = nullptr;
        this->pipe.reset();
    }
    this->server.loop.unwatch(this->descriptor);
    ::close(this->descriptor);
    this->server.connections.erase(this->descriptor);
}

bool RelayServer::Connection::isExpired(core::TimePoint now) const
{
    const auto age = now - this->since;
    switch (this->state) {
    case State::Reading:
        return age > (this->parser->got_some() ? this->server.limits.headerTimeout : this->server.limits.idleTimeout);
    case State::Lingering:
        return age > lingerTimeout;
    case State::Writing:
        return age > this->server.limits.idleTimeout;
    case State::Handling:
        return false;
    }
    return false;
}

void RelayServer::Implementation::acceptAll()
{
    for (int accepted = 0; accepted < acceptsPerTurn; ++accepted) {
        std::string peerIp;
        const int descriptor = acceptOne(this->listener, peerIp);
        if (descriptor < 0) {
            break;
        }
        auto connection = std::make_shared<Connection>(*this, descriptor, std::move(peerIp));
        this->connections[descriptor] = connection;
        this->loop.watchEdges(descriptor, [weak = std::weak_ptr<Connection>(connection)](const Readiness &readiness) {
            if (const auto held = weak.lock()) {
                held->onChange(readiness);
            }
        });
    }
    this->armSweep();
}

void RelayServer::Implementation::armSweep()
{
    if (this->sweepTimer != EventLoop::noTimer || this->connections.empty()) {
        return;
    }
    this->sweepTimer = this->loop.after(timeoutSweep, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->sweepTimer = EventLoop::noTimer;
            self->sweep();
        }
    });
}

void RelayServer::Implementation::sweep()
{
    const auto now = core::steadyNow();
    std::vector<std::shared_ptr<Connection>> expired;
    for (const auto &[descriptor, connection] : this->connections) {
        if (connection->isExpired(now)) {
            expired.push_back(connection);
        }
    }
    for (const auto &connection : expired) {
        connection->peerLeft();
    }
    this->armSweep();
}

void RelayServer::Implementation::close()
{
    this->isClosed = true;
    this->loop.cancel(this->sweepTimer);
    this->loop.unwatch(this->listener);
    ::close(this->listener);
    const auto open = this->connections;
    for (const auto &[descriptor, connection] : open) {
        connection->end();
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

void RelayServer::setLimits(const RelayServerLimits &limits)
{
    this->implementation->limits = limits;
}
} // namespace figpulley::net
