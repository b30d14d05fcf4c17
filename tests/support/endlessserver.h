#pragma once

#include "net/address.h"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::tests
{
/// TCP server that responds to each request with bytes without end until the client closes the connection. It serves any number of
/// connections on a thread of its own.
class EndlessServer
{
public:
    EndlessServer()
        : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local {};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(this->listener, reinterpret_cast<sockaddr *>(&local), sizeof local);
        listen(this->listener, 512);
        this->thread = std::thread([this] { this->run(); });
    }

    ~EndlessServer()
    {
        this->isStopped = true;
        this->thread.join();
        for (const auto &[descriptor, connection] : this->connections) {
            close(descriptor);
        }
        close(this->listener);
    }

    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    [[nodiscard]] net::Address address() const
    {
        sockaddr_in local {};
        socklen_t size = sizeof local;
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&local), &size);
        return {"127.0.0.1", ntohs(local.sin_port)};
    }

    /// Selects the bytes of the responses to later requests.
    /// @param first first bytes; "ID" stands for the request's id
    /// @param endless bytes that follow again and again
    void respondWith(std::string first, const std::string &endless)
    {
        std::string repeated;
        while (repeated.size() < blockBytes) {
            repeated += endless;
        }
        const std::lock_guard lock(this->mutex);
        this->start = std::move(first);
        this->piece = std::move(repeated);
    }

    std::atomic<int> requests {0};
    std::atomic<std::size_t> bytesPerSecond {0}; ///< pace of the responses to all connections together; 0 for no limit

private:
    static constexpr std::size_t blockBytes = 65536;

    struct Connection
    {
        std::string input;
        std::string output;
        std::string repeated;
    };

    void run()
    {
        while (!this->isStopped) {
            std::vector<pollfd> descriptors {{this->listener, POLLIN, 0}};
            for (const auto &[descriptor, connection] : this->connections) {
                descriptors.push_back({descriptor, static_cast<short>(connection.output.empty() ? POLLIN : POLLOUT), 0});
            }
            if (poll(descriptors.data(), descriptors.size(), 20) <= 0) {
                continue;
            }
            if (descriptors.front().revents != 0) {
                this->connections[accept(this->listener, nullptr, nullptr)] = {};
            }
            for (std::size_t at = 1; at < descriptors.size(); ++at) {
                if (descriptors[at].revents != 0 && !this->serve(descriptors[at].fd, this->connections[descriptors[at].fd])) {
                    close(descriptors[at].fd);
                    this->connections.erase(descriptors[at].fd);
                }
            }
        }
    }

    bool serve(int descriptor, Connection &connection)
    {
        if (connection.output.empty()) {
            char bytes[4096];
            const auto size = recv(descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
            if (size <= 0) {
                return false;
            }
            connection.input.append(bytes, static_cast<std::size_t>(size));
            if (connection.input.find("\r\n\r\n") != std::string::npos) {
                this->respond(connection);
            }
            return true;
        }
        const auto sent = send(descriptor, connection.output.data(), connection.output.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        if (const auto limit = this->bytesPerSecond.load(); limit > 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::size_t>(sent) * 1'000'000 / limit));
        }
        connection.output.erase(0, static_cast<std::size_t>(sent));
        if (connection.output.empty()) {
            connection.output = connection.repeated;
        }
        return true;
    }

    void respond(Connection &connection)
    {
        ++this->requests;
        const std::string name = "X-Request-Id: ";
        const auto at = connection.input.find(name) + name.size();
        const std::lock_guard lock(this->mutex);
        connection.output = this->start;
        connection.repeated = this->piece;
        if (const auto id = connection.output.find("ID"); id != std::string::npos) {
            connection.output.replace(id, 2, connection.input.substr(at, connection.input.find('\r', at) - at));
        }
    }

    int listener;
    std::unordered_map<int, Connection> connections; // by descriptor
    std::mutex mutex;
    std::string start;
    std::string piece;
    std::atomic<bool> isStopped {false};
    std::thread thread;
};
} // namespace figpulley::tests
