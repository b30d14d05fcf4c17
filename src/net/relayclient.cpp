#include "net/relayclient.h"

#include "net/address.h"
#include "net/messageparser.h"
#include "net/responsestatus.h"
#include "net/socket.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/beast/http/error.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace figpulley::net
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;
using core::ErrorKind;
using core::TimePoint;

// Shorter than the time for which servers keep idle connections, so that no server closes a connection while a request is sent on it.
constexpr Duration defaultMaxIdleTime = 30s;
constexpr std::size_t maxIdlePerAddress = 256;
constexpr std::size_t maxCopiedBodyBytes = 64UL * 1024UL; // larger shared bodies are written without a copy
// Applies to the heads of interim and final responses together, to a chunk's header and to the trailer.
constexpr std::uint32_t maxHeaderBytes = 64U * 1024U;
constexpr std::string_view scheme = "http://";

// Splits a URL of the form http://ip:port/path into the address and the request target.
std::pair<std::string, std::string_view> splitUrl(std::string_view url)
{
    url.remove_prefix(std::min(scheme.size(), url.size()));
    const auto slash = std::min(url.find('/'), url.size());
    const auto target = slash < url.size() ? url.substr(slash) : std::string_view("/");
    return {std::string(url.substr(0, slash)), target};
}

// Returns the time for which the server keeps an idle connection, as stated in its Keep-Alive header.
std::optional<Duration> parseKeepAliveTimeout(const Headers &headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = findHeader(headers, "Keep-Alive");
    const auto at = value.find(parameter);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + parameter.size());
    std::int64_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, 3600));
}

std::string formatRequestHead(const ClientRequest &request, const std::string &address, std::string_view target)
{
    std::string head;
    head.append(request.method).append(" ").append(target).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "Host").empty()) {
        head.append("Host: ").append(address).append("\r\n");
    }
    for (const auto &header : request.headers) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    const auto &body = bodyOf(request);
    const bool hasBody = !body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody) {
        head.append(fmt::format("Content-Length: {}\r\n", body.size()));
    }
    head.append("\r\n");
    return head;
}
} // namespace

class RelayClient::Implementation : public std::enable_shared_from_this<RelayClient::Implementation>
{
public:
    explicit Implementation(EventLoop &loop)
        : loop(loop)
    {
    }

    std::shared_ptr<Connection> acquireIdle(const std::string &address, Duration maxIdleTime);
    void storeIdle(const std::shared_ptr<Connection> &connection);
    void removeIdle(const std::shared_ptr<Connection> &connection);
    void closeIdle(const std::string &address);
    void close();

    EventLoop &loop;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
    std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> busy; // connections with an exchange in progress, by transfer id
    std::uint64_t nextId = 1;
};

/// One connection to a server, and the exchange in progress on it.
class RelayClient::Connection : public std::enable_shared_from_this<RelayClient::Connection>
{
public:
    Connection(Implementation &client, std::string address)
        : client(client)
        , address(std::move(address))
    {
    }

    bool open(Duration ackTimeout);
    void startExchange(TransferId id, const ClientRequest &request, ClientCallbacks callbacks, std::string_view target);
    void onChange(const Readiness &readiness);
    void flush();
    [[nodiscard]] bool writePending(std::string_view bytes, std::size_t &position);
    void readAvailable();
    bool parse(std::string_view bytes);
    bool checkSize();
    bool deliverBody();
    bool processHead();
    void finish(ErrorKind kind, const std::string &detail, bool isPeerUnreachable = false);
    void handleReadFailure(IoResult result);
    void finishDeferred(ErrorKind kind, std::string detail);
    void closeSocket();
    void handleTimeout(bool isConnectTimeout);
    [[nodiscard]] ErrorKind connectionErrorKind() const;
    void startParser();

    Implementation &client;
    std::string address;
    int descriptor = -1;
    TransferId id {};
    ClientCallbacks callbacks;
    std::unique_ptr<MessageParser<false>> parser;
    std::string input; // bytes read but not parsed
    std::string body; // parsed bytes of the body that were not delivered
    std::string output;
    std::size_t written = 0; // number of bytes of the output that were written
    std::shared_ptr<const std::string> requestBody; // body to write after the output
    std::size_t requestBodyWritten = 0; // number of its bytes that were written
    std::size_t received = 0; // number of bytes of the response that were received
    std::size_t maxResponseBytes = 0; // 0 for no limit
    EventLoop::TimerId timer = EventLoop::noTimer;
    EventLoop::TimerId connectTimer = EventLoop::noTimer;
    TimePoint idleSince {};
    Duration maxIdleTime = defaultMaxIdleTime;
    bool isBusy = false;
    bool isReused = false; // the connection has carried an earlier exchange
    bool isOpen = false; // the TCP connection is established
    bool isHeadRequest = false; // the response to a HEAD request has no body
    bool isHeadProcessed = false;
    bool isRejected = false; // the response does not belong to this request
    bool isPaused = false;
    bool isMoreNeeded = false; // the parser cannot go on without further bytes
    bool isCloseDelimitedAllowed = false;
    bool isReusable = true;
    bool isPeerClosed = false; // the peer has closed its side of the connection
    bool hasUnreadInput = false;
    bool hasWriteFailed = false; // the connection failed before the request was sent completely
};

bool RelayClient::Connection::open(Duration ackTimeout)
{
    const auto serverAddress = parseAddress(this->address);
    this->descriptor = serverAddress ? startConnect(*serverAddress, ackTimeout) : -1;
    if (this->descriptor < 0) {
        return false;
    }
    this->client.loop.watchEdgeTriggered(this->descriptor, [weak = this->weak_from_this()](const Readiness &readiness) {
        if (const auto self = weak.lock()) {
            self->onChange(readiness);
        }
    });
    return true;
}

void RelayClient::Connection::startParser()
{
    this->parser = std::make_unique<MessageParser<false>>();
    this->parser->header_limit(maxHeaderBytes);
    this->parser->body_limit(boost::none);
    this->parser->eager(true);
    this->parser->skip(this->isHeadRequest);
    this->parser->onBody = [this](std::string_view piece) {
        if (this->processHead()) {
            this->body.append(piece);
        }
    };
}

void RelayClient::Connection::startExchange(TransferId transfer, const ClientRequest &request, ClientCallbacks transferCallbacks,
                                            std::string_view target)
{
    this->id = transfer;
    this->callbacks = std::move(transferCallbacks);
    this->isBusy = true;
    this->isHeadRequest = request.method == "HEAD";
    this->isCloseDelimitedAllowed = request.mayBeCloseDelimited;
    this->isReusable = !request.needsNewConnection;
    this->isHeadProcessed = false;
    this->isRejected = false;
    this->isPaused = false;
    this->isMoreNeeded = false;
    this->hasUnreadInput = false;
    this->hasWriteFailed = false;
    this->body.clear();
    this->startParser();
    this->output = formatRequestHead(request, this->address, target);
    // A small body goes out with the head in one call.
    const bool isShared = request.sharedBody && request.sharedBody->size() > maxCopiedBodyBytes;
    this->output.append(isShared ? std::string_view() : std::string_view(bodyOf(request)));
    this->written = 0;
    this->requestBody = isShared ? request.sharedBody : nullptr;
    this->requestBodyWritten = 0;
    this->received = 0;
    this->maxResponseBytes = request.maxResponseBytes;
    auto &loop = this->client.loop;
    this->timer = loop.callAfter(std::max<Duration>(1ms, request.timeout), [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer = EventLoop::noTimer;
            self->handleTimeout(false);
        }
    });
    if (!this->isOpen && request.connectTimeout.count() > 0) {
        this->connectTimer = loop.callAfter(request.connectTimeout, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->connectTimer = EventLoop::noTimer;
                self->handleTimeout(true);
            }
        });
    }
}

void RelayClient::Connection::onChange(const Readiness &readiness)
{
    const auto keepAlive = this->shared_from_this();
    this->isPeerClosed = this->isPeerClosed || readiness.isHungUp;
    if (!this->isBusy) {
        // Nothing is expected on an idle connection: either the server closed it, or it sent bytes that belong to no request.
        if (readiness.isReadable || readiness.isHungUp) {
            this->client.removeIdle(keepAlive);
            this->closeSocket();
        }
        return;
    }
    if (!this->isOpen) {
        if (!isConnected(this->descriptor)) {
            this->finish(ErrorKind::ConnectFailed, "the connection could not be established");
            return;
        }
        if (!readiness.isWritable) {
            return;
        }
        this->isOpen = true;
        this->client.loop.cancel(this->connectTimer);
        this->connectTimer = EventLoop::noTimer;
    }
    if (readiness.isWritable) {
        this->flush();
    }
    if (this->isBusy && (readiness.isReadable || readiness.isHungUp)) {
        this->readAvailable();
    }
}

void RelayClient::Connection::flush()
{
    if (!this->writePending(this->output, this->written)) {
        return;
    }
    if (this->requestBody && this->writePending(*this->requestBody, this->requestBodyWritten)) {
        this->requestBody.reset();
    }
}

// Writes the bytes after a position as far as the socket takes them. Returns whether all are written.
bool RelayClient::Connection::writePending(std::string_view bytes, std::size_t &position)
{
    while (position < bytes.size()) {
        std::size_t sent = 0;
        const auto result = writeSome(this->descriptor, bytes.substr(position), sent);
        if (result == IoResult::WouldBlock) {
            return false;
        }
        if (result != IoResult::Done) {
            this->hasWriteFailed = true;
            this->finishDeferred(this->connectionErrorKind(), "the connection failed while the request was being sent");
            return false;
        }
        position += sent;
    }
    return true;
}

void RelayClient::Connection::readAvailable()
{
    bool isDrained = false;
    this->hasUnreadInput = false;
    // The end of the connection is reported once, perhaps together with bytes before it, so it is read without another report.
    while ((!isDrained || this->isPeerClosed) && this->isBusy) {
        if (this->isPaused) {
            this->hasUnreadInput = true;
            return;
        }
        std::string_view bytes;
        const auto result = readSome(this->descriptor, bytes, isDrained);
        if (result == IoResult::WouldBlock) {
            return;
        }
        if (result == IoResult::Closed) {
            const bool isCloseDelimited = this->parser->is_header_done() && this->parser->need_eof();
            // A reset that the failed write has reported is followed by a regular end.
            if (isCloseDelimited && this->isCloseDelimitedAllowed && !this->hasWriteFailed && this->processHead()) {
                this->isReusable = false;
                this->finish(ErrorKind::None, {});
                return;
            }
            this->finish(this->connectionErrorKind(), "the peer closed the connection before the response was complete");
            return;
        }
        if (result != IoResult::Done) {
            this->handleReadFailure(result);
            return;
        }
        if (!this->parse(bytes)) {
            return;
        }
    }
}

// Parses received bytes. Returns false if the exchange has ended.
bool RelayClient::Connection::parse(std::string_view bytes)
{
    this->input.append(bytes);
    this->received += bytes.size();
    std::size_t parsedBytes = 0;
    while (parsedBytes < this->input.size()) {
        if (this->isMoreNeeded && !this->parser->canContinueWith(this->input.size() - parsedBytes)) {
            break;
        }
        boost::beast::error_code error;
        const auto parsedNow =
            this->parser->put(boost::asio::const_buffer(this->input.data() + parsedBytes, this->input.size() - parsedBytes), error);
        parsedBytes += parsedNow;
        this->isMoreNeeded = error == boost::beast::http::error::need_more;
        if (this->parser->is_header_done() && !isFinalStatus(this->parser->status) && !isInterimStatus(this->parser->status)) {
            this->isReusable = false;
            this->finish(ErrorKind::AnswerLost, fmt::format("the response has the invalid status {:03}", this->parser->status));
            return false;
        }
        const bool isFinalHead = this->parser->is_header_done() && isFinalStatus(this->parser->status);
        // A parser that has parsed a whole message must not be called again, so a rejection ends the exchange before the next call.
        if (isFinalHead && !this->processHead()) {
            this->isReusable = false;
            this->finish(ErrorKind::AnswerLost, "the response belongs to another request");
            return false;
        }
        if (error && !this->isMoreNeeded) {
            this->isReusable = false;
            this->finish(this->isHeadProcessed ? ErrorKind::AnswerShort : ErrorKind::AnswerLost,
                         "the response is not valid HTTP: " + error.message());
            return false;
        }
        if (this->parser->is_header_done() && !isFinalHead) {
            this->startParser();
            continue;
        }
        if (this->parser->is_done()) {
            if (!this->deliverBody()) {
                return false;
            }
            // Bytes after the end of the response belong to no request, and no other request can follow one that was not sent completely.
            const bool isExchangeComplete = parsedBytes == this->input.size() && this->written == this->output.size();
            this->isReusable = this->isReusable && isExchangeComplete && this->parser->keep_alive();
            this->finish(ErrorKind::None, {});
            return false;
        }
        if (this->isMoreNeeded || parsedNow == 0) {
            break;
        }
    }
    // The remaining bytes are part of a line; the parser needs them again together with the bytes that follow.
    this->input.erase(0, parsedBytes);
    return this->deliverBody() && this->checkSize();
}

// Delivers the body that one read has brought in one piece, however many chunks it consists of.
// Returns false if the receiver has cancelled the exchange.
bool RelayClient::Connection::deliverBody()
{
    if (!this->body.empty() && this->callbacks.onData) {
        const auto piece = std::exchange(this->body, {});
        if (!this->callbacks.onData(piece)) {
            this->isPaused = true;
        }
    }
    return this->isBusy;
}

// Ends an exchange whose response exceeds a limit. The parser limits only the head of each single response.
// Returns false if the exchange has ended.
bool RelayClient::Connection::checkSize()
{
    const bool isHeadTooLong = !this->isHeadProcessed && this->received > maxHeaderBytes;
    const bool isLineTooLong = this->input.size() > maxHeaderBytes;
    const bool isDeclaredTooLong = this->parser->length.value_or(0) > this->maxResponseBytes;
    const bool isTooLong = this->maxResponseBytes > 0 && (this->received > this->maxResponseBytes || isDeclaredTooLong);
    if (!isHeadTooLong && !isLineTooLong && !isTooLong) {
        return true;
    }
    this->isReusable = false;
    this->finish(this->isHeadProcessed ? ErrorKind::AnswerShort : ErrorKind::AnswerLost,
                 isTooLong ? fmt::format("the response is longer than {} bytes", this->maxResponseBytes)
                           : fmt::format("the response has a head or a line of more than {} bytes", maxHeaderBytes));
    return false;
}

bool RelayClient::Connection::processHead()
{
    if (this->isHeadProcessed || this->isRejected) {
        return !this->isRejected;
    }
    ClientResponseHead head;
    head.status = this->parser->status;
    head.headers = std::move(this->parser->headers);
    head.length = this->parser->length;
    head.isOnReusedConnection = this->isReused;
    if (this->callbacks.isAcceptable && !this->callbacks.isAcceptable(head)) {
        this->isRejected = true;
        return false;
    }
    this->isHeadProcessed = true;
    if (const auto keepAliveTimeout = parseKeepAliveTimeout(head.headers)) {
        // One second less than the server states, to allow for the transit time of the response.
        this->maxIdleTime = std::max<Duration>(Duration {}, *keepAliveTimeout - 1s);
    }
    if (this->callbacks.onHead) {
        this->callbacks.onHead(head);
    }
    return true;
}

// Returns the error kind of an exchange whose connection failed. If no byte of the request was written, the server cannot have read it.
ErrorKind RelayClient::Connection::connectionErrorKind() const
{
    if (this->written == 0) {
        return ErrorKind::ConnectFailed;
    }
    return this->isHeadProcessed ? ErrorKind::AnswerShort : ErrorKind::AnswerLost;
}

void RelayClient::Connection::handleTimeout(bool isConnectTimeout)
{
    const auto keepAlive = this->shared_from_this();
    if (isConnectTimeout && this->isOpen) {
        return;
    }
    this->isReusable = false;
    const auto kind =
        this->written == 0 ? (isConnectTimeout ? ErrorKind::ConnectFailed : ErrorKind::DeadlineExpired) : ErrorKind::DeadlineUnknown;
    this->finish(kind, isConnectTimeout ? "the connect timeout expired" : "the request timeout expired");
}

// Ends the exchange after a failed read. If the peer is unreachable on one connection, it is also unreachable on the idle connections to
// the same address, so these are closed.
void RelayClient::Connection::handleReadFailure(IoResult result)
{
    const auto keepAlive = this->shared_from_this();
    const bool isPeerUnreachable = result == IoResult::TimedOut;
    if (isPeerUnreachable) {
        this->client.closeIdle(this->address);
    }
    this->finish(this->connectionErrorKind(),
                 isPeerUnreachable ? "the peer acknowledged nothing within the timeout" : "the connection was reset", isPeerUnreachable);
}

void RelayClient::Connection::finish(ErrorKind kind, const std::string &detail, bool isPeerUnreachable)
{
    if (!this->isBusy) {
        return;
    }
    const auto keepAlive = this->shared_from_this();
    this->isBusy = false;
    this->client.loop.cancel(this->timer);
    this->client.loop.cancel(this->connectTimer);
    this->timer = EventLoop::noTimer;
    this->connectTimer = EventLoop::noTimer;
    this->client.busy.erase(static_cast<std::uint64_t>(this->id));
    const auto finishedCallbacks = std::exchange(this->callbacks, {});
    this->output.clear();
    this->requestBody.reset();
    this->input.clear();
    if (kind == ErrorKind::None && this->isReusable && !this->isPeerClosed && this->maxIdleTime.count() > 0) {
        this->client.storeIdle(keepAlive);
    } else {
        this->closeSocket();
    }
    if (finishedCallbacks.onDone) {
        finishedCallbacks.onDone({kind, detail, isPeerUnreachable});
    }
}

void RelayClient::Connection::finishDeferred(ErrorKind kind, std::string detail)
{
    this->client.loop.post([weak = this->weak_from_this(), transfer = this->id, kind, detail = std::move(detail)] {
        const auto self = weak.lock();
        if (self && self->isBusy && self->id == transfer) {
            self->isReusable = false;
            self->finish(kind, detail);
        }
    });
}

void RelayClient::Connection::closeSocket()
{
    if (this->descriptor < 0) {
        return;
    }
    this->client.loop.cancel(this->timer);
    this->client.loop.cancel(this->connectTimer);
    this->client.loop.unwatch(this->descriptor);
    ::close(this->descriptor);
    this->descriptor = -1;
}

std::shared_ptr<RelayClient::Connection> RelayClient::Implementation::acquireIdle(const std::string &address, Duration maxIdleTime)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    const auto now = core::steadyNow();
    const auto limit = maxIdleTime.count() > 0 ? maxIdleTime : defaultMaxIdleTime;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now - connection->idleSince < std::min(limit, connection->maxIdleTime)) {
            return connection;
        }
        connection->closeSocket();
    }
    return nullptr;
}

void RelayClient::Implementation::storeIdle(const std::shared_ptr<Connection> &connection)
{
    auto &connections = this->idle[connection->address];
    connection->idleSince = core::steadyNow();
    connections.push_back(connection);
    if (connections.size() > maxIdlePerAddress) {
        connections.front()->closeSocket();
        connections.erase(connections.begin());
    }
}

void RelayClient::Implementation::removeIdle(const std::shared_ptr<Connection> &connection)
{
    const auto found = this->idle.find(connection->address);
    if (found != this->idle.end()) {
        std::erase(found->second, connection);
    }
}

void RelayClient::Implementation::closeIdle(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return;
    }
    for (const auto &connection : std::exchange(found->second, {})) {
        connection->closeSocket();
    }
}

void RelayClient::Implementation::close()
{
    for (const auto &[transfer, connection] : std::exchange(this->busy, {})) {
        connection->isBusy = false;
        connection->callbacks = {};
        connection->closeSocket();
    }
    for (const auto &[address, connections] : std::exchange(this->idle, {})) {
        for (const auto &connection : connections) {
            connection->closeSocket();
        }
    }
}

RelayClient::RelayClient(EventLoop &loop)
    : implementation(std::make_shared<Implementation>(loop))
{
}

RelayClient::~RelayClient()
{
    this->implementation->close();
}

TransferId RelayClient::send(const ClientRequest &request, ClientCallbacks callbacks)
{
    auto &self = *this->implementation;
    const TransferId id {self.nextId++};
    const auto [address, target] = splitUrl(request.url);
    auto connection = request.needsNewConnection ? nullptr : self.acquireIdle(address, request.maxIdleTime);
    const bool isReused = connection != nullptr;
    if (!isReused) {
        connection = std::make_shared<Connection>(self, address);
    }
    connection->isReused = isReused;
    self.busy.emplace(static_cast<std::uint64_t>(id), connection);
    connection->startExchange(id, request, std::move(callbacks), target);
    if (!isReused && !connection->open(request.ackTimeout)) {
        connection->finishDeferred(ErrorKind::ConnectFailed, "the connection could not be opened");
    } else if (isReused) {
        connection->flush();
    }
    return id;
}

void RelayClient::cancel(TransferId transfer)
{
    auto &self = *this->implementation;
    const auto found = self.busy.find(static_cast<std::uint64_t>(transfer));
    if (found == self.busy.end()) {
        return;
    }
    const auto connection = found->second;
    self.busy.erase(found);
    connection->isBusy = false;
    const auto cancelled = std::exchange(connection->callbacks, {});
    connection->closeSocket();
}

void RelayClient::resume(TransferId transfer)
{
    auto &self = *this->implementation;
    const auto found = self.busy.find(static_cast<std::uint64_t>(transfer));
    if (found == self.busy.end()) {
        return;
    }
    const auto connection = found->second;
    connection->isPaused = false;
    if (connection->hasUnreadInput) {
        connection->readAvailable();
    }
}
} // namespace figpulley::net
