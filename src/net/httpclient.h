#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "net/eventloop.h"
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
/// A request to be sent.
struct ClientRequest
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    core::Duration timeout {}; ///< for the whole exchange
    core::Duration connectTimeout {}; ///< 0: the timeout
    bool isFreshConnection = false; ///< never send it on a connection that was used before
    bool mayResend = true; ///< libcurl may send it again when a reused connection dies before an answer
    std::string bindAddress; ///< local IP to send from; empty for any
    core::Duration largestIdle {}; ///< a kept connection that was idle longer is not used; 0: the client's default
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
    std::string detail; ///< libcurl's words
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

/// Sends HTTP requests on an event loop. Built on libcurl.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request; the callbacks are never called from inside this function.
    TransferId send(const ClientRequest &request, ClientCallbacks callbacks);

    /// Sends a request and collects the whole answer.
    /// @param largestBody bytes above which the answer is dropped as an error
    TransferId fetch(const ClientRequest &request, std::size_t largestBody, std::function<void(ClientAnswer)> onDone);

    /// Ends an exchange without further callbacks; its connection is closed. Unknown ids are ignored.
    void cancel(TransferId transfer);

    /// Goes on after onData returned false.
    void resume(TransferId transfer);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
