#pragma once

#include "net/bodypipe.h"
#include "net/eventloop.h"
#include "net/httpexchange.h"
#include "net/httpsender.h"

#include <functional>
#include <memory>
#include <string>

namespace figpulley::node
{
/// Forwards the response of a client transfer to a server exchange. A small response is buffered until it is complete, so that
/// a failed transfer can still be retried or answered with an error. A large response is streamed as it arrives, and a failure
/// closes the caller's connection.
class ResponseRelay : public std::enable_shared_from_this<ResponseRelay>
{
public:
    /// Largest response body that is buffered, in bytes; larger ones are streamed.
    static constexpr std::size_t maxBufferedBytes = 64UL * 1024UL;

    /// Callbacks of the owner.
    struct Callbacks
    {
        /// Returns false for the response to another request; optional.
        std::function<bool(const net::ClientResponseHead &)> isAcceptable;
        /// A response exceeds the buffer; returns false to end the transfer as AnswerShort.
        std::function<bool(const net::ClientResponseHead &)> onCommit;
        /// The transfer has ended, successfully or not.
        std::function<void(const net::ClientResult &)> onDone;
    };

    ResponseRelay(net::EventLoop &loop, net::HttpSender &client, std::shared_ptr<net::HttpExchange> exchange, Callbacks callbacks);

    /// Sends the request whose response is forwarded.
    void start(const net::ClientRequest &request);

    /// Cancels the transfer; no further callback is called.
    void cancel();

    /// Responds to the exchange with the buffered response.
    /// @param extra headers to add to the response
    void sendBuffered(const net::Headers &extra);

    /// Starts to stream the response to the exchange. Must be called from onCommit.
    /// @param extra headers to add to the response
    void startStreaming(const net::Headers &extra);

    [[nodiscard]] const net::ClientResponseHead &head() const noexcept;
    [[nodiscard]] bool isStreaming() const noexcept;

    /// Replaces the status of the forwarded response. Must be called before sendBuffered or startStreaming.
    void setStatus(int status) noexcept;

    /// Removes a header from the forwarded response.
    void removeHeader(std::string_view name);

private:
    bool handleData(std::string_view data);
    void handleEnd(const net::ClientResult &result);
    /// Ends the transfer before its response is complete, unless it has ended.
    void endTransfer(const net::ClientResult &result);
    [[nodiscard]] net::Headers forwardedHeaders(const net::Headers &extra) const;

    net::EventLoop &loop;
    net::HttpSender &client;
    std::shared_ptr<net::HttpExchange> exchange;
    Callbacks callbacks;
    net::TransferId transfer {};
    net::ClientResponseHead responseHead;
    std::string buffer;
    std::shared_ptr<net::BodyPipe> pipe;
    bool hasEnded = false;
    bool isDiscarded = false;
};
} // namespace figpulley::node
