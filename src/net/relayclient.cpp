#include "net/relayclient.h"

#include "net/address.h"
#include "net/messageparser.h"
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

constexpr Duration defaultIdle = 30s; // shorter than servers keep idle connections, so that none closes under a request
constexpr std::size_t mostIdlePerAddress = 256;
constexpr std::uint32_t largestHeader = 64U * 1024U;
constexpr int httpFirstFinal = 200;
constexpr std::string_view scheme = "http://";

// Splits http://ip:port/path into the address and the target.
std::pair<std::string, std::string_view> splitUrl(std::string_view url)
{
    url.remove_prefix(std::min(scheme.size(), url.size()));
    const auto slash = std::min(url.find('/'), url.size());
    const auto target = slash < url.size() ? url.substr(slash) : std::string_view("/");
    return {std::string(url.substr(0, slash)), target};
}

// Time that the server keeps an idle connection, from its Keep-Alive header.
std::optional<Duration> keptFor(const Headers &headers)
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

std::string headOf(const ClientRequest &request, const std::string &address, std::string_view target)
{
    std::string head;
    head.reserve(512 + request.body.size());
    head.append(request.method).append(" ").append(target).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "Host").empty()) {
        head.append("Host: ").append(address).append("\r\n");
    }
    for (const auto &header : request.headers) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody) {
        head.append(fmt::format("Content-Length: {}\r\n", request.body.size()));
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

    std::shared_ptr<Connection> takeIdle(const std::string &address, Duration largestIdle);
    void keepIdle(const std::shared_ptr<Connection> &connection);
    void forget(const std::shared_ptr<Connection> &connection);
    void dropIdle(const std::string &address);
    void close();

    EventLoop &loop;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
    std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> busy; // by transfer
    std::uint64_t nextId = 1;
};

/// One connection to a server, with the exchange on it.
class RelayClient::Connection : public std::enable_shared_from_this<RelayClient::Connection>
{
public:
    Connection(Implementation &client, std::string address)
        : client(client)
        , address(std::move(address))
    {
    }

    bool open(Duration silence);
    void begin(TransferId id, const ClientRequest &request, ClientCallbacks callbacks, std::string_view target);
    void onChange(const Readiness &readiness);
    void flush();
    void readMore();
    bool consume(std::string_view bytes);
    bool takeHead();
    void finish(ErrorKind kind, const std::string &detail, bool isPeerSilent = false);
    void lost(IoResult how);
    void finishLater(ErrorKind kind, std::string detail);
    void drop();
    void timedOut(bool isConnecting);
    [[nodiscard]] ErrorKind lostKind() const;
    void startParser();

    Implementation &client;
    std::string address;
    int descriptor = -1;
    TransferId id {};
    ClientCallbacks callbacks;
    std::unique_ptr<MessageParser<false>> parser;
    std::string input; // read but not consumed
    std::string output;
    std::size_t written = 0; // of the output
    EventLoop::TimerId timer = EventLoop::noTimer;
    EventLoop::TimerId connectTimer = EventLoop::noTimer;
    TimePoint idleSince {};
    Duration keptLimit = defaultIdle;
    bool isBusy = false;
    bool isOpen = false; // the connection was established
    bool isHeadOnly = false; // a HEAD request
    bool isHeadTaken = false;
    bool isRejected = false; // the head is not this request's
    bool isPaused = false;
    bool mayBeUnframed = false;
    bool mayBeKept = true;
    bool hasMoreInput = false;
};

bool RelayClient::Connection::open(Duration silence)
{
    const auto where = parseAddress(this->address);
    this->descriptor = where ? startConnect(*where, silence) : -1;
    if (this->descriptor < 0) {
        return false;
    }
    this->client.loop.watchEdges(this->descriptor, [weak = this->weak_from_this()](const Readiness &readiness) {
        if (const auto self = weak.lock()) {
            self->onChange(readiness);
        }
    });
    return true;
}

void RelayClient::Connection::startParser()
{
    this->parser = std::make_unique<MessageParser<false>>();
    this->parser->header_limit(largestHeader);
    this->parser->body_limit(boost::none);
    this->parser->eager(true);
    this->parser->skip(this->isHeadOnly);
    this->parser->onBody = [this](std::string_view piece) {
        if (!this->takeHead()) {
            return;
        }
        if (this->callbacks.onData && !this->callbacks.onData(piece)) {
            this->isPaused = true;
        }
    };
}

void RelayClient::Connection::begin(TransferId transfer, const ClientRequest &request, ClientCallbacks transferCallbacks,
                                    std::string_view target)
{
    this->id = transfer;
    this->callbacks = std::move(transferCallbacks);
    this->isBusy = true;
    this->isHeadOnly = request.method == "HEAD";
    this->mayBeUnframed = request.mayBeUnframed;
    this->mayBeKept = !request.isFreshConnection;
    this->isHeadTaken = false;
    this->isRejected = false;
    this->isPaused = false;
    this->hasMoreInput = false;
    this->startParser();
    this->output = headOf(request, this->address, target) + request.body;
    this->written = 0;
    auto &loop = this->client.loop;
    this->timer = loop.after(std::max<Duration>(1ms, request.timeout), [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer = EventLoop::noTimer;
            self->timedOut(false);
        }
    });
    if (!this->isOpen && request.connectTimeout.count() > 0) {
        this->connectTimer = loop.after(request.connectTimeout, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->connectTimer = EventLoop::noTimer;
                self->timedOut(true);
            }
        });
    }
}

void RelayClient::Connection::onChange(const Readiness &readiness)
{
    const auto keepAlive = this->shared_from_this();
    if (!this->isBusy) {
        // Nothing is expected on an idle connection: it was closed, or bytes came that belong to no request.
        if (readiness.isReadable || readiness.isHungUp) {
            this->client.forget(keepAlive);
            this->drop();
        }
        return;
    }
    if (!this->isOpen) {
        if (!isConnected(this->descriptor)) {
            this->finish(ErrorKind::ConnectFailed, "the connection was refused");
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
        this->readMore();
    }
}

void RelayClient::Connection::flush()
{
    while (this->written < this->output.size()) {
        std::size_t sent = 0;
        const auto result = writeSome(this->descriptor, std::string_view(this->output).substr(this->written), sent);
        if (result == IoResult::WouldBlock) {
            return;
        }
        if (result != IoResult::Done) {
            this->finishLater(this->lostKind(), "the connection ended while the request was sent");
            return;
        }
        this->written += sent;
    }
}

void RelayClient::Connection::readMore()
{
    bool isDrained = false;
    this->hasMoreInput = false;
    while (!isDrained && this->isBusy) {
        if (this->isPaused) {
            this->hasMoreInput = true;
            return;
        }
        std::string_view bytes;
        const auto result = readSome(this->descriptor, bytes, isDrained);
        if (result == IoResult::WouldBlock) {
            return;
        }
        if (result == IoResult::Closed) {
            const bool isUnframed = this->parser->is_header_done() && this->parser->need_eof();
            if (isUnframed && this->mayBeUnframed && this->takeHead()) {
                this->mayBeKept = false;
                this->finish(ErrorKind::None, {});
                return;
            }
            this->finish(this->lostKind(), "the connection was closed before the answer was whole");
            return;
        }
        if (result != IoResult::Done) {
            this->lost(result);
            return;
        }
        if (!this->consume(bytes)) {
            return;
        }
    }
}

// Returns false when the exchange has ended.
bool RelayClient::Connection::consume(std::string_view bytes)
{
    this->input.append(bytes);
    std::size_t used = 0;
    while (used < this->input.size()) {
        boost::beast::error_code error;
        const auto taken = this->parser->put(boost::asio::const_buffer(this->input.data() + used, this->input.size() - used), error);
        used += taken;
        if (this->isRejected) {
            this->mayBeKept = false;
            this->finish(ErrorKind::AnswerLost, "the answer belongs to another request");
            return false;
        }
        if (error && error != boost::beast::http::error::need_more) {
            this->mayBeKept = false;
            this->finish(this->isHeadTaken ? ErrorKind::AnswerShort : ErrorKind::AnswerLost, "the answer is not HTTP: " + error.message());
            return false;
        }
        if (this->parser->is_header_done() && this->parser->status < httpFirstFinal) {
            this->startParser();
            continue;
        }
        if (this->parser->is_header_done() && !this->takeHead()) {
            continue;
        }
        if (this->parser->is_done()) {
            // Bytes after the end belong to no request, and a body that was not read in whole cannot be followed by another request.
            const bool isClean = used == this->input.size() && this->written == this->output.size();
            this->mayBeKept = this->mayBeKept && isClean && this->parser->keep_alive();
            this->finish(ErrorKind::None, {});
            return false;
        }
        if (taken == 0) {
            break;
        }
    }
    // What is left is part of a line; the parser wants it again together with what follows.
    this->input.erase(0, used);
    return true;
}

bool RelayClient::Connection::takeHead()
{
    if (this->isHeadTaken || this->isRejected) {
        return !this->isRejected;
    }
    ClientAnswerHead head;
    head.status = this->parser->status;
    head.headers = std::move(this->parser->headers);
    head.length = this->parser->length;
    if (this->callbacks.isAcceptable && !this->callbacks.isAcceptable(head)) {
        this->isRejected = true;
        return false;
    }
    this->isHeadTaken = true;
    if (const auto limit = keptFor(head.headers)) {
        // Less than the server says, since the last byte of the answer was on its way.
        this->keptLimit = std::max<Duration>(Duration {}, *limit - 1s);
    }
    if (this->callbacks.onHead) {
        this->callbacks.onHead(head);
    }
    return true;
}

// How an exchange without an answer counts: nothing of the request may have been read if nothing of it was written.
ErrorKind RelayClient::Connection::lostKind() const
{
    if (this->written == 0) {
        return ErrorKind::ConnectFailed;
    }
    return this->isHeadTaken ? ErrorKind::AnswerShort : ErrorKind::AnswerLost;
}

void RelayClient::Connection::timedOut(bool isConnecting)
{
    const auto keepAlive = this->shared_from_this();
    if (isConnecting && this->isOpen) {
        return;
    }
    this->mayBeKept = false;
    const auto kind =
        this->written == 0 ? (isConnecting ? ErrorKind::ConnectFailed : ErrorKind::DeadlineExpired) : ErrorKind::DeadlineUnknown;
    this->finish(kind, isConnecting ? "the connection was not established in time" : "the time is over");
}

// A peer that is silent on one connection is silent on the others that are kept to its address; none of them is used again.
void RelayClient::Connection::lost(IoResult how)
{
    const auto keepAlive = this->shared_from_this();
    const bool isPeerSilent = how == IoResult::Silent;
    if (isPeerSilent) {
        this->client.dropIdle(this->address);
    }
    this->finish(this->lostKind(), isPeerSilent ? "the peer has acknowledged nothing" : "the connection was reset", isPeerSilent);
}

void RelayClient::Connection::finish(ErrorKind kind, const std::string &detail, bool isPeerSilent)
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
    const auto ended = std::exchange(this->callbacks, {});
    this->output.clear();
    this->input.clear();
    if (kind == ErrorKind::None && this->mayBeKept && this->keptLimit.count() > 0) {
        this->client.keepIdle(keepAlive);
    } else {
        this->drop();
    }
    if (ended.onDone) {
        ended.onDone({kind, detail, isPeerSilent});
    }
}

void RelayClient::Connection::finishLater(ErrorKind kind, std::string detail)
{
    this->client.loop.post([weak = this->weak_from_this(), transfer = this->id, kind, detail = std::move(detail)] {
        const auto self = weak.lock();
        if (self && self->isBusy && self->id == transfer) {
            self->mayBeKept = false;
            self->finish(kind, detail);
        }
    });
}

void RelayClient::Connection::drop()
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

std::shared_ptr<RelayClient::Connection> RelayClient::Implementation::takeIdle(const std::string &address, Duration largestIdle)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    const auto now = core::steadyNow();
    const auto limit = largestIdle.count() > 0 ? largestIdle : defaultIdle;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now - connection->idleSince < std::min(limit, connection->keptLimit)) {
            return connection;
        }
        connection->drop();
    }
    return nullptr;
}

void RelayClient::Implementation::keepIdle(const std::shared_ptr<Connection> &connection)
{
    auto &connections = this->idle[connection->address];
    connection->idleSince = core::steadyNow();
    connections.push_back(connection);
    if (connections.size() > mostIdlePerAddress) {
        connections.front()->drop();
        connections.erase(connections.begin());
    }
}

void RelayClient::Implementation::forget(const std::shared_ptr<Connection> &connection)
{
    const auto found = this->idle.find(connection->address);
    if (found != this->idle.end()) {
        std::erase(found->second, connection);
    }
}

void RelayClient::Implementation::dropIdle(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return;
    }
    for (const auto &connection : std::exchange(found->second, {})) {
        connection->drop();
    }
}

void RelayClient::Implementation::close()
{
    for (const auto &[transfer, connection] : std::exchange(this->busy, {})) {
        connection->isBusy = false;
        connection->callbacks = {};
        connection->drop();
    }
    for (const auto &[address, connections] : std::exchange(this->idle, {})) {
        for (const auto &connection : connections) {
            connection->drop();
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
    auto connection = request.isFreshConnection ? nullptr : self.takeIdle(address, request.largestIdle);
    const bool isReused = connection != nullptr;
    if (!isReused) {
        connection = std::make_shared<Connection>(self, address);
    }
    self.busy.emplace(static_cast<std::uint64_t>(id), connection);
    connection->begin(id, request, std::move(callbacks), target);
    if (!isReused && !connection->open(request.silence)) {
        connection->finishLater(ErrorKind::ConnectFailed, "no connection could be opened");
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
    const auto ended = std::exchange(connection->callbacks, {});
    connection->drop();
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
    if (connection->hasMoreInput) {
        connection->readMore();
    }
}
} // namespace figpulley::net
