#include "node/responserelay.h"

#include "node/errorresponse.h"

namespace figpulley::node
{
ResponseRelay::ResponseRelay(net::EventLoop &loop, net::HttpSender &client, std::shared_ptr<net::HttpExchange> exchange,
                             Callbacks callbacks)
    : loop(loop)
    , client(client)
    , exchange(std::move(exchange))
    , callbacks(std::move(callbacks))
{
}

void ResponseRelay::start(const net::ClientRequest &request)
{
    net::ClientCallbacks transferCallbacks;
    transferCallbacks.isAcceptable = this->callbacks.isAcceptable;
    transferCallbacks.onHead = [self = this->shared_from_this()](const net::ClientResponseHead &head) { self->responseHead = head; };
    transferCallbacks.onData = [self = this->shared_from_this()](std::string_view data) { return self->handleData(data); };
    transferCallbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->handleEnd(result); };
    this->transfer = this->client.send(request, std::move(transferCallbacks));
}

void ResponseRelay::cancel()
{
    if (!this->hasEnded) {
        this->hasEnded = true;
        this->client.cancel(this->transfer);
        if (this->pipe) {
            this->pipe->finish(false);
        }
        // The callbacks hold the owner and the owner holds this relay: clearing them breaks the reference cycle.
        this->callbacks = {};
    }
}

const net::ClientResponseHead &ResponseRelay::head() const noexcept
{
    return this->responseHead;
}

bool ResponseRelay::isStreaming() const noexcept
{
    return this->pipe != nullptr;
}

void ResponseRelay::setStatus(int status) noexcept
{
    this->responseHead.status = status;
}

void ResponseRelay::removeHeader(std::string_view name)
{
    std::erase_if(this->responseHead.headers, [name](const net::Header &header) { return net::equalsIgnoreCase(header.name, name); });
}

bool ResponseRelay::handleData(std::string_view data)
{
    if (this->pipe) {
        return this->pipe->push(data);
    }
    if (this->isDiscarded) {
        return true;
    }
    this->buffer.append(data);
    if (this->buffer.size() <= maxBufferedBytes) {
        return true;
    }
    if (!this->callbacks.onCommit(this->responseHead)) {
        this->isDiscarded = true;
        this->buffer.clear();
        // Ended without waiting for the end of the response, which may never come. Posted, since the transfer is delivering data.
        this->loop.post([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->endTransfer({core::ErrorKind::AnswerShort, "the response was discarded"});
            }
        });
    }
    return true;
}

void ResponseRelay::endTransfer(const net::ClientResult &result)
{
    if (!this->hasEnded) {
        this->hasEnded = true;
        this->client.cancel(this->transfer);
        this->callbacks.onDone(result);
        this->callbacks = {};
    }
}

void ResponseRelay::handleEnd(const net::ClientResult &result)
{
    this->hasEnded = true;
    if (this->pipe) {
        this->pipe->finish(result.kind == core::ErrorKind::None);
    }
    this->callbacks.onDone(result);
    this->callbacks = {};
}

net::Headers ResponseRelay::forwardedHeaders(const net::Headers &extra) const
{
    auto headers = extra;
    for (const auto &header : this->responseHead.headers) {
        if (isForwardedHeader(header.name)) {
            headers.push_back(header);
        }
    }
    return headers;
}

void ResponseRelay::sendBuffered(const net::Headers &extra)
{
    this->exchange->respond({this->responseHead.status, this->forwardedHeaders(extra), std::move(this->buffer)});
}

void ResponseRelay::startStreaming(const net::Headers &extra)
{
    this->pipe = std::make_shared<net::BodyPipe>();
    // Both callbacks post to the event loop, since they may run while libcurl delivers data of the same transfer.
    this->pipe->onSpaceAvailable = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->loop.post([self] { self->client.resume(self->transfer); });
        }
    };
    this->pipe->onAbandoned = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->loop.post([self] { self->endTransfer({core::ErrorKind::Cancelled, "the caller closed the connection"}); });
        }
    };
    this->pipe->push(this->buffer);
    this->buffer.clear();
    this->exchange->respondFrom(this->responseHead.status, this->forwardedHeaders(extra), this->responseHead.length, this->pipe);
}
} // namespace figpulley::node
