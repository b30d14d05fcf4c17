#pragma once

#include "net/address.h"
#include "net/eventloop.h"
#include "net/httpexchange.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace figpulley::net
{
/// Limits that protect the server from clients that send too much or too slowly.
struct HttpServerLimits
{
    std::size_t connections = 4096;
    std::size_t bodyBytes = 1UL << 20U;
    std::size_t headerBytes = 32UL * 1024UL;
    unsigned idleSeconds = 75; ///< longer than clients keep idle connections, so that the clients close them first
};

/// Serves HTTP on an event loop. Built on libmicrohttpd.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// Binds the address and starts serving.
    /// @param address the address to bind; port 0 selects any free port
    /// @throws std::runtime_error if the address cannot be bound
    HttpServer(EventLoop &loop, const Address &address, Handler handler, HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Returns the listening address with its actual port.
    [[nodiscard]] Address address() const;

    /// Closes the listening socket; open connections stay in service.
    void stopAccepting();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
