#include "node/answerrelay.h"

#include "node/ownanswer.h"

namespace figpulley::node
{
AnswerRelay::AnswerRelay(net::EventLoop &loop, net::HttpSender &client, std::shared_ptr<net::HttpExchange> exchange, Callbacks callbacks)
    : loop(loop)
    , client(client)
    , exchange(std::move(exchange))
    , callbacks(std::move(callbacks))
{
}

void AnswerRelay::start(const net::ClientRequest &request)
{
    net::ClientCallbacks transferCallbacks;
    transferCallbacks.isAcceptable = this->callbacks.isAcceptable;
    transferCallbacks.onHead = [self = this->shared_from_this()](const net::ClientResponseHead &head) { self->answerHead = head; };
    transferCallbacks.onData = [self = this->shared_from_this()](std::string_view data) { return self->takeData(data); };
    transferCallbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->takeEnd(result); };
    this->transfer = this->client.send(request, std::move(transferCallbacks));
}

void AnswerRelay::cancel()
{
    if (!this->isOver) {
        this->isOver = true;
        this->client.cancel(this->transfer);
        if (this->pipe) {
            this->pipe->finish(false);
        }
        // They hold the owner, which holds this relay.
        this->callbacks = {};
    }
}

const net::ClientResponseHead &AnswerRelay::head() const noexcept
{
    return this->answerHead;
}

bool AnswerRelay::isStreaming() const noexcept
{
    return this->pipe != nullptr;
}

void AnswerRelay::setStatus(int status) noexcept
{
    this->answerHead.status = status;
}

void AnswerRelay::dropHeader(std::string_view name)
{
    std::erase_if(this->answerHead.headers, [name](const net::Header &header) { return net::equalsIgnoreCase(header.name, name); });
}

bool AnswerRelay::takeData(std::string_view data)
{
    if (this->pipe) {
        return this->pipe->push(data);
    }
    if (this->isDropped) {
        return true;
    }
    this->held.append(data);
    if (this->held.size() <= heldBytes) {
        return true;
    }
    if (!this->callbacks.onCommit(this->answerHead)) {
        this->isDropped = true;
        this->held.clear();
    }
    return true;
}

void AnswerRelay::takeEnd(const net::ClientResult &result)
{
    this->isOver = true;
    if (this->pipe) {
        this->pipe->finish(result.kind == core::ErrorKind::None);
    }
    this->callbacks.onDone(result);
    this->callbacks = {};
}

net::Headers AnswerRelay::passedHeaders(const net::Headers &extra) const
{
    auto headers = extra;
    for (const auto &header : this->answerHead.headers) {
        if (isPassedOn(header.name)) {
            headers.push_back(header);
        }
    }
    return headers;
}

void AnswerRelay::passHeld(const net::Headers &extra)
{
    this->exchange->respond({this->answerHead.status, this->passedHeaders(extra), std::move(this->held)});
}

void AnswerRelay::passStream(const net::Headers &extra)
{
    this->pipe = std::make_shared<net::BodyPipe>();
    // Both go through the loop: they may be called while libcurl is delivering this very transfer's data.
    this->pipe->onSpaceAvailable = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->loop.post([self] { self->client.resume(self->transfer); });
        }
    };
    this->pipe->onAbandoned = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->loop.post([self] {
                if (!self->isOver) {
                    self->isOver = true;
                    self->client.cancel(self->transfer);
                    self->callbacks.onDone({core::ErrorKind::Cancelled, "the reader went away"});
                    self->callbacks = {};
                }
            });
        }
    };
    this->pipe->push(this->held);
    this->held.clear();
    this->exchange->respondFrom(this->answerHead.status, this->passedHeaders(extra), this->answerHead.length, this->pipe);
}
} // namespace figpulley::node
