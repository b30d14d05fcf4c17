#include "net/socket.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::net
{
namespace
{
constexpr int listenBacklog = 1024;
constexpr std::size_t readBufferBytes = 64UL * 1024UL;
constexpr int keepAliveIntervalSeconds = 1;

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &socketAddress.sin_addr);
    return socketAddress;
}

std::string ipToString(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return text.data();
}

void setOption(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof value);
}

// Makes a connection fail if its peer acknowledges nothing. TCP_USER_TIMEOUT covers bytes that were sent; the keep-alive probes cover
// a connection that only waits for a response.
void setAckTimeout(int descriptor, core::Duration ackTimeout)
{
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(core::toMilliseconds(ackTimeout)));
}

IoResult resultFromErrno()
{
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
        return IoResult::WouldBlock;
    }
    return errno == ETIMEDOUT ? IoResult::TimedOut : IoResult::Failed;
}
} // namespace

int openListener(const Address &address)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setOption(listener, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto socketAddress = toSocketAddress(address);
    const bool isBound = bind(listener, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) == 0
        && listen(listener, listenBacklog) == 0;
    if (!isBound) {
        const auto reason = std::string(strerror(errno));
        close(listener);
        throw std::runtime_error(fmt::format("cannot listen on {}: {}", address.toString(), reason));
    }
    return listener;
}

Address localAddress(int descriptor)
{
    sockaddr_in socketAddress {};
    socklen_t size = sizeof socketAddress;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&socketAddress), &size);
    return {ipToString(socketAddress), ntohs(socketAddress.sin_port)};
}

int startConnect(const Address &address, core::Duration ackTimeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (ackTimeout.count() > 0) {
        setAckTimeout(descriptor, ackTimeout);
    }
    const auto socketAddress = toSocketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) != 0 && errno != EINPROGRESS) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

int acceptConnection(int listener, std::string &peerIp)
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    const int descriptor = accept4(listener, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) {
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        peerIp = ipToString(peer);
    }
    return descriptor;
}

bool isConnected(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

IoResult readSome(int descriptor, std::string_view &bytes, bool &isDrained)
{
    thread_local std::array<char, readBufferBytes> buffer;
    const auto size = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (size < 0) {
        isDrained = true;
        return resultFromErrno();
    }
    if (size == 0) {
        isDrained = true;
        return IoResult::Closed;
    }
    bytes = {buffer.data(), static_cast<std::size_t>(size)};
    // A short read has emptied the socket; the event loop reports data that arrives later.
    isDrained = static_cast<std::size_t>(size) < buffer.size();
    return IoResult::Done;
}

IoResult writeSome(int descriptor, std::string_view bytes, std::size_t &written)
{
    const auto size = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
        written = 0;
        return resultFromErrno();
    }
    written = static_cast<std::size_t>(size);
    return IoResult::Done;
}
} // namespace figpulley::net
