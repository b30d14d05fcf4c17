#pragma once

#include "net/address.h"
#include "net/eventloop.h"
#include "net/httpexchange.h"

#include <functional>
#include <memory>

namespace figpulley::net
{
/// Limits that protect the server from clients that send too much or too slowly.
struct RelayServerLimits
{
    std::size_t headerBytes = 32UL * 1024UL;
    std::size_t bodyBytes = 64UL << 20U;
    core::Duration headerTimeout = std::chrono::seconds(10); ///< maximum time for the head of a request, and without new bytes of its body
    core::Duration idleTimeout =
        std::chrono::seconds(75); ///< maximum time between two requests, or without progress while a response is written
    std::size_t maxBufferedBodyBytes = 48UL << 20U; ///< maximum total size of the bodies of all requests whose response is not yet written
};

/// HTTP server of the proxies. It needs few system calls per request and detects at once when a client disconnects. Requests are parsed
/// with Boost.Beast.
class RelayServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// Binds the address and starts serving.
    /// @param address the address to bind; port 0 selects any free port
    /// @throws std::runtime_error if the address cannot be bound
    RelayServer(EventLoop &loop, const Address &address, Handler handler, RelayServerLimits limits = {});
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    /// Returns the listening address with its actual port.
    [[nodiscard]] Address address() const;

    /// Returns the number of connections whose client has not been sent the whole response yet.
    [[nodiscard]] std::size_t unsentResponses() const noexcept;

    /// Replaces the limits, also for open connections.
    void setLimits(const RelayServerLimits &limits);

private:
    class Implementation;
    class Connection;
    class Exchange;
    std::shared_ptr<Implementation> implementation;
};
} // namespace figpulley::net
