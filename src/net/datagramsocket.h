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

    /// Largest datagram sent or received, in bytes; fits one Ethernet frame.
    static constexpr std::size_t largestSize = 1400;

    /// @param address port 0 takes any free one
    /// @throws std::runtime_error if the address cannot be bound
    DatagramSocket(EventLoop &loop, const Address &address, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends a datagram; losses are not reported.
    void send(const Address &to, std::string_view bytes);

    /// The bound address, with the port chosen.
    [[nodiscard]] Address address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
