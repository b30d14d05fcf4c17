#pragma once

#include "net/address.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

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

    std::atomic<int> requests {0};

private:
    void run()
    {
        while (!this->isStopped) {
            pollfd ready {this->listener, POLLIN, 0};
            if (poll(&ready, 1, 20) <= 0) {
                continue;
            }
            const int connection = accept(this->listener, nullptr, nullptr);
            this->serve(connection);
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
            if (isClosing) {
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
