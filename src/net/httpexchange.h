#pragma once

#include "core/time.h"
#include "net/bodypipe.h"
#include "net/header.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figpulley::net
{
/// A request that was received completely.
struct HttpRequest
{
    std::string method;
    std::string path; ///< path without the query
    std::string query; ///< query with its question mark; empty if there is none
    Headers headers;
    std::string body;
};

/// A response with its complete body.
struct HttpResponse
{
    int status = 200;
    Headers headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody {}; ///< sent in place of `body`, without a copy for each connection
    core::Duration stallTimeout {}; ///< RelayServer closes the connection if no byte can be written for this long; 0 for its idle timeout
};

/// One request, and the interface to respond to it, immediately or later.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;

    /// Returns the IP address of the client; empty once the connection is closed.
    [[nodiscard]] virtual std::string peerIp() const = 0;

    /// Sends a response; only the first response to a request is sent.
    virtual void respond(HttpResponse response) = 0;

    /// Sends a response whose body is still arriving.
    /// @param size length of the body if known
    ///
    /// If the body ends early, the connection is closed, so that the client does not take the response for complete.
    virtual void respondFrom(int status, Headers headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> pipe) = 0;

    /// Sets the callback that runs if the client disconnects before a response was sent.
    virtual void onCancelled(std::function<void()> callback) = 0;

    HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
};
} // namespace figpulley::net
