#pragma once

#include "net/address.h"
#include "net/eventloop.h"
#include "net/httpexchange.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace figpulley::net
{
/// Bounds against clients that send too much or too slowly.
struct HttpServerLimits
{
    std::size_t connections = 4096;
    std::size_t bodyBytes = 1UL << 20U;
    std::size_t headerBytes = 32UL * 1024UL;
    unsigned idleSeconds = 75; ///< longer than clients keep idle connections, so that they close first
};

/// Serves HTTP on an event loop. Built on libmicrohttpd.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// Binds and starts to serve.
    /// @param address port 0 takes any free one
    /// @throws std::runtime_error if the address cannot be bound
    HttpServer(EventLoop &loop, const Address &address, Handler handler, HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The address that is served, with the port chosen.
    [[nodiscard]] Address address() const;

    /// Closes the listening socket; open connections go on.
    void stopAccepting();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
