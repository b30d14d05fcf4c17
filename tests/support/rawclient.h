#pragma once

#include "net/address.h"

#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::tests
{
/// Sends raw bytes and returns the start of the answer, or nothing if the connection was closed.
[[nodiscard]] inline std::string exchangeRaw(const net::Address &to, const std::string &bytes)
{
    constexpr int longestWaitMs = 20000;
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_port = htons(to.port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string answer;
    if (connect(connection, reinterpret_cast<sockaddr *>(&where), sizeof where) == 0) {
        static_cast<void>(!send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        pollfd ready {connection, POLLIN, 0};
        char buffer[4096];
        const auto size = poll(&ready, 1, longestWaitMs) > 0 ? read(connection, buffer, sizeof buffer) : 0;
        answer.assign(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    close(connection);
    return answer;
}
} // namespace figpulley::tests
