#pragma once

#include "net/bodypipe.h"
#include "net/header.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figpulley::net
{
/// A request that has arrived in whole.
struct HttpRequest
{
    std::string method;
    std::string path; ///< without the query
    std::string query; ///< with its question mark; empty if none
    Headers headers;
    std::string body;
};

/// An answer whose body is known.
struct HttpAnswer
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// One request and the means to answer it, now or later.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;

    /// IP of the caller; empty once the connection is closed.
    [[nodiscard]] virtual std::string peerIp() const = 0;

    /// Answers; only the first answer counts.
    virtual void answer(HttpAnswer answer) = 0;

    /// Answers with a body that is still arriving.
    /// @param size length of the body if known; a body that ends early cuts the connection, so that it never looks whole
    virtual void answerFrom(int status, Headers headers, std::optional<std::size_t> size, std::shared_ptr<BodyPipe> pipe) = 0;

    /// Sets what happens if the caller goes away before an answer was given.
    virtual void onCancelled(std::function<void()> callback) = 0;

    HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
};
} // namespace figpulley::net
