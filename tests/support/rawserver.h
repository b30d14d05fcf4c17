#pragma once

#include "net/address.h"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
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
/// TCP server on a thread of its own that responds with raw bytes chosen by a test, which need not be valid HTTP. It serves one
/// connection at a time.
class RawServer
{
public:
    /// @param onRequest receives the number of the request, counted from 1, and its text, and returns the bytes to send. The
    /// connection is closed after them if they are empty or begin with '!'; the '!' isn't sent.
    explicit RawServer(std::function<std::string(int, const std::string &)> onRequest)
        : onRequest(std::move(onRequest))
        , listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local {};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(this->listener, reinterpret_cast<sockaddr *>(&local), sizeof local);
        listen(this->listener, 16);
        this->thread = std::thread([this] { this->run(); });
    }

    ~RawServer()
    {
        this->isStopped = true;
        this->thread.join();
        close(this->listener);
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] net::Address address() const
    {
        sockaddr_in local {};
        socklen_t size = sizeof local;
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&local), &size);
        return {"127.0.0.1", ntohs(local.sin_port)};
    }

    /// Pieces that follow each response, with pauses so that the client reads each by itself. Must be set before the first request.
    std::vector<std::string> laterPieces;

    bool isClosingAfterPieces = false; ///< closes the connection after the pieces; must be set before the first request

    bool isResettingConnections = false; ///< closes connections with a reset; must be set before the first request

    /// Bytes that follow each response without end, until the client closes the connection. Must be set before the first request.
    std::string endlessPiece;

    std::atomic<int> connections {0}; ///< number of connections accepted
    std::atomic<int> requests {0};
    std::atomic<std::size_t> endlessBytes {0}; ///< number of bytes sent after responses
    std::atomic<bool> isClosedByClient {false}; ///< whether the client has closed a connection that received bytes without end

private:
    void run()
    {
        while (!this->isStopped) {
            pollfd ready {this->listener, POLLIN, 0};
            if (poll(&ready, 1, 20) <= 0) {
                continue;
            }
            const int connection = accept(this->listener, nullptr, nullptr);
            ++this->connections;
            this->serve(connection);
            if (this->isResettingConnections) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50)); // the client reads the response first
                const linger atOnce {1, 0};
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
            }
            close(connection);
        }
    }

    void serve(int connection)
    {
        std::string buffer;
        while (!this->isStopped) {
            pollfd ready {connection, POLLIN, 0};
            if (poll(&ready, 1, 20) <= 0) {
                continue;
            }
            char bytes[4096];
            const auto size = read(connection, bytes, sizeof bytes);
            if (size <= 0) {
                return;
            }
            buffer.append(bytes, static_cast<std::size_t>(size));
            if (buffer.find("\r\n\r\n") == std::string::npos) {
                continue;
            }
            const auto response = this->onRequest(++this->requests, buffer);
            buffer.clear();
            const bool isClosing = response.empty() || response.front() == '!';
            const auto sent = response.empty() ? response : response.substr(isClosing ? 1 : 0);
            static_cast<void>(!write(connection, sent.data(), sent.size()));
            for (const auto &piece : this->laterPieces) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                static_cast<void>(!write(connection, piece.data(), piece.size()));
            }
            if (!this->endlessPiece.empty()) {
                this->sendWithoutEnd(connection);
                return;
            }
            if (isClosing || this->isClosingAfterPieces) {
                return;
            }
        }
    }

    void sendWithoutEnd(int connection)
    {
        while (!this->isStopped) {
            const auto sent = send(connection, this->endlessPiece.data(), this->endlessPiece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0) {
                this->endlessBytes += static_cast<std::size_t>(sent);
            } else if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                pollfd ready {connection, POLLOUT, 0};
                poll(&ready, 1, 20);
            } else {
                this->isClosedByClient = true;
                return;
            }
        }
    }

    std::function<std::string(int, const std::string &)> onRequest;
    int listener;
    std::atomic<bool> isStopped {false};
    std::thread thread;
};
} // namespace figpulley::tests
