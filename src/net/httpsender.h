#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "net/header.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::net
{
/// A request to send.
struct ClientRequest
{
    std::string method = "GET";
    std::string url; ///< URL of the form `http://ip:port/path?query`
    Headers headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody {}; ///< sent in place of `body`, without a copy; must not be empty
    core::Duration timeout {}; ///< time limit for the whole exchange
    core::Duration headTimeout {}; ///< HttpClient: time limit until the head of the response is complete; 0 applies only `timeout`
    core::Duration connectTimeout {}; ///< time limit for the connection to be established; 0 applies only `timeout`
    bool needsNewConnection = false; ///< the request needs a new connection, which is not reused
    bool mayResend = true; ///< the request may be sent again if a reused connection fails before a response
    std::string bindAddress; ///< local IP address to send from; empty for any
    core::Duration maxIdleTime {}; ///< a pooled connection that was idle longer is not reused; 0 applies the client's default
    bool mayBeCloseDelimited = false; ///< a response that is delimited by the close of its connection counts as complete
    std::size_t maxResponseBytes = 0; ///< RelayClient ends an exchange whose response is longer, with its framing; 0 for no limit
    core::Duration ackTimeout {}; ///< the connection fails if the peer acknowledges nothing for this long; 0 disables the check
};

/// Returns the body that a request is sent with.
[[nodiscard]] inline const std::string &bodyOf(const ClientRequest &request) noexcept
{
    return request.sharedBody ? *request.sharedBody : request.body;
}

/// Status and headers of a response.
struct ClientResponseHead
{
    int status = 0;
    Headers headers;
    std::optional<std::size_t> length; ///< length of the body, if the headers declare it
    bool isOnReusedConnection = false; ///< RelayClient: the connection has carried an earlier exchange, so the response may belong to that
};

/// How an exchange ended.
struct ClientResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< None if the complete response was received
    std::string detail; ///< description of the error
    bool isPeerUnreachable = false; ///< the exchange failed because the peer acknowledged nothing: disconnected, frozen or without power
    bool isTooLarge = false; ///< HttpClient::fetch() has ended the exchange, as the body exceeds its limit
};

/// Callbacks that receive a response as it arrives.
struct ClientCallbacks
{
    /// Decides from the head of a final response whether it is accepted; false ends the exchange as AnswerLost and closes the connection.
    std::function<bool(const ClientResponseHead &)> isAcceptable;
    std::function<void(const ClientResponseHead &)> onHead;
    std::function<bool(std::string_view)> onData; ///< returns false to pause until resume(); the data passed counts as consumed
    std::function<void(const ClientResult &)> onDone;
};

/// A complete response, or the error that ended the exchange.
struct ClientResponse
{
    ClientResult result;
    ClientResponseHead head;
    std::string body;
};

/// Identifies an exchange in progress.
enum class TransferId : std::uint64_t {};

/// Sends HTTP requests and passes on their responses as they arrive.
class HttpSender
{
public:
    virtual ~HttpSender() = default;

    /// Sends a request. The callbacks run later, never from inside this function.
    virtual TransferId send(const ClientRequest &request, ClientCallbacks callbacks) = 0;

    /// Cancels an exchange and closes its connection; no further callbacks run. Unknown ids are ignored.
    virtual void cancel(TransferId transfer) = 0;

    /// Resumes an exchange that was paused because onData returned false.
    virtual void resume(TransferId transfer) = 0;

    HttpSender() = default;
    HttpSender(const HttpSender &) = delete;
    HttpSender &operator=(const HttpSender &) = delete;
};
} // namespace figpulley::net
