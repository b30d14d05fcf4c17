#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "net/header.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::net
{
/// A request to be sent.
struct ClientRequest
{
    std::string method = "GET";
    std::string url; ///< http://ip:port/path?query
    Headers headers;
    std::string body;
    core::Duration timeout {}; ///< for the whole exchange
    core::Duration connectTimeout {}; ///< 0: the timeout
    bool isFreshConnection = false; ///< never send it on a connection that was used before
    bool mayResend = true; ///< it may be sent again when a reused connection dies before an answer
    std::string bindAddress; ///< local IP to send from; empty for any
    core::Duration largestIdle {}; ///< a kept connection that was idle longer is not used; 0: the client's default
    bool mayBeUnframed = false; ///< an answer without a length that ends with its connection counts as whole
    core::Duration silence {}; ///< a connection whose peer acknowledges nothing for this long is given up; 0: never
};

/// The head of an answer.
struct ClientAnswerHead
{
    int status = 0;
    Headers headers;
    std::optional<std::size_t> length; ///< announced length of the body
};

/// How an exchange ended.
struct ClientResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< None: the answer arrived in whole
    std::string detail; ///< the library's words
    bool isPeerSilent = false; ///< it ended since the peer acknowledged nothing: cut off, frozen or without power
};

/// Receives an answer piece by piece.
struct ClientCallbacks
{
    /// Judges the head of a final answer when it has arrived; false ends the exchange as AnswerLost and closes the connection.
    std::function<bool(const ClientAnswerHead &)> isAcceptable;
    std::function<void(const ClientAnswerHead &)> onHead;
    std::function<bool(std::string_view)> onData; ///< returns false to pause; resume() goes on after the piece, which counts as taken
    std::function<void(const ClientResult &)> onDone;
};

/// A whole answer.
struct ClientAnswer
{
    ClientResult result;
    ClientAnswerHead head;
    std::string body;
};

/// Names an exchange in flight.
enum class TransferId : std::uint64_t {};

/// Sends HTTP requests and hands over their answers piece by piece.
class HttpSender
{
public:
    virtual ~HttpSender() = default;

    /// Sends a request; the callbacks are never called from inside this function.
    virtual TransferId send(const ClientRequest &request, ClientCallbacks callbacks) = 0;

    /// Ends an exchange without further callbacks; its connection is closed. Unknown ids are ignored.
    virtual void cancel(TransferId transfer) = 0;

    /// Goes on after onData returned false.
    virtual void resume(TransferId transfer) = 0;

    HttpSender() = default;
    HttpSender(const HttpSender &) = delete;
    HttpSender &operator=(const HttpSender &) = delete;
};
} // namespace figpulley::net
