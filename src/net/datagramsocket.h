#pragma once

#include "net/address.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace figpulley::net
{
/// Sends and receives UDP datagrams on an event loop. Built on ACE.
class DatagramSocket
{
public:
    using Handler = std::function<void(const Address &from, std::string_view bytes)>;

    /// Maximum size of a datagram, in bytes; it fits one Ethernet frame. Larger datagrams that arrive are dropped.
    static constexpr std::size_t maxDatagramBytes = 1400;

    /// @param address the address to bind; port 0 selects any free port
    /// @throws std::runtime_error if the address cannot be bound
    DatagramSocket(EventLoop &loop, const Address &address, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends a datagram without waiting; failures and losses are not reported.
    void send(const Address &to, std::string_view bytes);

    /// Returns the bound address with its actual port.
    [[nodiscard]] Address address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
