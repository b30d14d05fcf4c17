#pragma once

#include "core/time.h"
#include "net/address.h"

#include <string>
#include <string_view>

namespace figpulley::net
{
/// Result of a read or a write on a connection.
enum class IoResult : std::uint8_t {
    Done, ///< bytes were transferred
    WouldBlock,
    Closed, ///< the peer has closed its end
    Failed, ///< the connection was reset or has failed
    TimedOut, ///< the peer acknowledged nothing within the acknowledgement timeout
};

/// Opens a listening socket.
/// @throws std::runtime_error if the address cannot be bound
[[nodiscard]] int openListener(const Address &address);

/// Returns the local address of a socket.
[[nodiscard]] Address localAddress(int descriptor);

/// Starts a non-blocking connect.
/// @param ackTimeout the connection fails if the peer acknowledges nothing for this long; 0 disables the check
/// @returns the descriptor, or -1 on failure
[[nodiscard]] int startConnect(const Address &address, core::Duration ackTimeout);

/// Accepts one pending connection.
/// @param peerIp receives the IP address of the peer
/// @returns the descriptor, or -1 if no connection is pending
[[nodiscard]] int acceptConnection(int listener, std::string &peerIp);

/// Returns whether a connect that was in progress has succeeded.
[[nodiscard]] bool isConnected(int descriptor);

/// Reads the available bytes, at most as many as fit the read buffer of the thread.
/// @param bytes receives a view that is valid until the next read on this thread
/// @param isDrained receives whether nothing is left to read now
[[nodiscard]] IoResult readSome(int descriptor, std::string_view &bytes, bool &isDrained);

/// Writes as many bytes as the socket accepts without blocking.
/// @param written receives the number of bytes written
[[nodiscard]] IoResult writeSome(int descriptor, std::string_view bytes, std::size_t &written);
} // namespace figpulley::net
