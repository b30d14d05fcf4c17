#pragma once

#include "net/address.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::tests
{
/// Sends pieces of raw bytes over a new connection to the loopback address, with pauses so that the server reads each by itself.
/// @returns the first piece of the response, or an empty string if the connection was closed or nothing arrived within 20 s
[[nodiscard]] inline std::string exchangeRaw(const net::Address &to, const std::vector<std::string> &pieces)
{
    constexpr int maxWaitMs = 20000;
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(to.port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string response;
    if (connect(connection, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0) {
        for (const auto &piece : pieces) {
            static_cast<void>(!send(connection, piece.data(), piece.size(), MSG_NOSIGNAL));
            if (&piece != &pieces.back()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }
        pollfd ready {connection, POLLIN, 0};
        char buffer[4096];
        const auto size = poll(&ready, 1, maxWaitMs) > 0 ? read(connection, buffer, sizeof buffer) : 0;
        response.assign(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    close(connection);
    return response;
}

[[nodiscard]] inline std::string exchangeRaw(const net::Address &to, const std::string &bytes)
{
    return exchangeRaw(to, std::vector<std::string> {bytes});
}
} // namespace figpulley::tests
