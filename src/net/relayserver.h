#pragma once

#include "net/address.h"
#include "net/eventloop.h"
#include "net/httpexchange.h"

#include <functional>
#include <memory>

namespace figpulley::net
{
/// Bounds against clients that send too much or too slowly.
struct RelayServerLimits
{
    std::size_t headerBytes = 32UL * 1024UL;
    std::size_t bodyBytes = 64UL << 20U;
    core::Duration headerTimeout = std::chrono::seconds(10); ///< for a request to arrive in whole, unless its body goes on arriving
    core::Duration idleTimeout = std::chrono::seconds(75); ///< of a connection between two requests
    std::size_t heldBytes = 48UL << 20U; ///< of the bodies of all requests together, until they are answered
};

/// Serves HTTP for requests that are passed on: few calls to the kernel per request, and a caller that leaves is noticed at once.
/// HTTP is read by Boost.Beast's parser.
class RelayServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// Binds and starts to serve.
    /// @param address port 0 takes any free one
    /// @throws std::runtime_error if the address cannot be bound
    RelayServer(EventLoop &loop, const Address &address, Handler handler, RelayServerLimits limits = {});
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    /// The address that is served, with the port chosen.
    [[nodiscard]] Address address() const;

    /// Replaces the limits, for open connections too.
    void setLimits(const RelayServerLimits &limits);

private:
    class Implementation;
    class Connection;
    class Exchange;
    std::shared_ptr<Implementation> implementation;
};
} // namespace figpulley::net
