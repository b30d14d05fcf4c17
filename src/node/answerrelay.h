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
/// Passes an answer from a client transfer to a server exchange. A small answer is held until it is whole, so that
/// a defect can still be answered or retried; a large one is passed on while it arrives, and its defect cuts the caller's connection.
class AnswerRelay : public std::enable_shared_from_this<AnswerRelay>
{
public:
    /// Body bytes up to which an answer is held.
    static constexpr std::size_t heldBytes = 64UL * 1024UL;

    /// What the owner decides.
    struct Callbacks
    {
        std::function<bool(const net::ClientResponseHead &)> isAcceptable; ///< false: the answer is not this request's; may be empty
        std::function<bool(const net::ClientResponseHead &)> onCommit; ///< a large answer begins to pass; false drops it
        std::function<void(const net::ClientResult &)> onDone; ///< the transfer has ended, in whole or not
    };

    AnswerRelay(net::EventLoop &loop, net::HttpSender &client, std::shared_ptr<net::HttpExchange> exchange, Callbacks callbacks);

    /// Sends the request whose answer is passed on.
    void start(const net::ClientRequest &request);

    /// Ends the transfer without further callbacks.
    void cancel();

    /// Answers the exchange with the held answer.
    /// @param extra headers of our own
    void passHeld(const net::Headers &extra);

    /// Begins to pass the answer on; called from onCommit.
    void passStream(const net::Headers &extra);

    [[nodiscard]] const net::ClientResponseHead &head() const noexcept;
    [[nodiscard]] bool isStreaming() const noexcept;

    /// Replaces the status with which the answer is passed on; before passHeld or passStream.
    void setStatus(int status) noexcept;

    /// Removes a header from the answer that is passed on.
    void dropHeader(std::string_view name);

private:
    bool takeData(std::string_view data);
    void takeEnd(const net::ClientResult &result);
    [[nodiscard]] net::Headers passedHeaders(const net::Headers &extra) const;

    net::EventLoop &loop;
    net::HttpSender &client;
    std::shared_ptr<net::HttpExchange> exchange;
    Callbacks callbacks;
    net::TransferId transfer {};
    net::ClientResponseHead answerHead;
    std::string held;
    std::shared_ptr<net::BodyPipe> pipe;
    bool isOver = false;
    bool isDropped = false;
};
} // namespace figpulley::node
