#include "net/datagramsocket.h"

#include <array>
#include <stdexcept>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>
#include <fmt/format.h>

namespace figpulley::net
{
namespace
{
constexpr int maxDatagramsPerCallback = 64;

Address toAddress(const ACE_INET_Addr &from)
{
    std::array<char, 64> text {};
    from.get_host_addr(text.data(), static_cast<int>(text.size()));
    return {text.data(), from.get_port_number()};
}
} // namespace

class DatagramSocket::Implementation
{
public:
    Implementation(EventLoop &loop, const Address &address, Handler handler)
        : loop(loop)
        , handler(std::move(handler))
    {
        const ACE_INET_Addr local(address.port, address.ip.c_str());
        if (this->socket.open(local) != 0) {
            throw std::runtime_error(fmt::format("cannot bind a UDP socket to {}", address.toString()));
        }
        this->socket.enable(ACE_NONBLOCK);
        this->loop.watch(this->socket.get_handle(), true, false, [this](bool, bool) { this->receive(); });
    }

    ~Implementation()
    {
        this->loop.unwatch(this->socket.get_handle());
        this->socket.close();
    }

    void receive()
    {
        std::array<char, maxDatagramBytes + 1> buffer {};
        for (int count = 0; count < maxDatagramsPerCallback; ++count) {
            ACE_INET_Addr from;
            const auto size = this->socket.recv(buffer.data(), buffer.size(), from);
            if (size < 0) {
                return;
            }
            if (static_cast<std::size_t>(size) <= maxDatagramBytes) {
                this->handler(toAddress(from), std::string_view(buffer.data(), static_cast<std::size_t>(size)));
            }
        }
    }

    EventLoop &loop;
    Handler handler;
    ACE_SOCK_Dgram socket;
};

DatagramSocket::DatagramSocket(EventLoop &loop, const Address &address, Handler handler)
    : implementation(std::make_unique<Implementation>(loop, address, std::move(handler)))
{
}

DatagramSocket::~DatagramSocket() = default;

void DatagramSocket::send(const Address &to, std::string_view bytes)
{
    const ACE_INET_Addr target(to.port, to.ip.c_str());
    this->implementation->socket.send(bytes.data(), bytes.size(), target);
}

Address DatagramSocket::address() const
{
    ACE_INET_Addr local;
    this->implementation->socket.get_local_addr(local);
    return toAddress(local);
}
} // namespace figpulley::net
