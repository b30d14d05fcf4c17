#pragma once

#include "core/time.h"
#include "net/address.h"

#include <string>
#include <string_view>

namespace figpulley::net
{
/// How a read or a write on a connection ended.
enum class IoResult : std::uint8_t {
    Done, ///< bytes were moved
    WouldBlock,
    Closed, ///< the peer has closed its end
    Failed, ///< the connection was reset or has failed
    Silent, ///< the peer has acknowledged nothing for too long
};

/// Opens a listening socket.
/// @throws std::runtime_error if the address cannot be bound
[[nodiscard]] int openListener(const Address &address);

/// Address of a socket's own end.
[[nodiscard]] Address localAddress(int descriptor);

/// Starts to connect.
/// @param silence after which a connection whose peer acknowledges nothing fails; 0: never
/// @returns the descriptor, or -1
[[nodiscard]] int startConnect(const Address &address, core::Duration silence);

/// Accepts one connection.
/// @param peerIp receives the IP of the other end
/// @returns the descriptor, or -1 if none waits
[[nodiscard]] int acceptOne(int listener, std::string &peerIp);

/// Whether a connection that was being opened is open.
[[nodiscard]] bool isConnected(int descriptor);

/// Reads what has arrived, up to one buffer.
/// @param bytes receives a view that is valid until the next read on this thread
/// @param isDrained receives whether nothing more is there now
[[nodiscard]] IoResult readSome(int descriptor, std::string_view &bytes, bool &isDrained);

/// Writes as much as goes.
/// @param written receives the number of bytes
[[nodiscard]] IoResult writeSome(int descriptor, std::string_view bytes, std::size_t &written);
} // namespace figpulley::net
