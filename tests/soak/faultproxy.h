#pragma once

#include "net/eventloop.h"
#include "net/socket.h"

#include <memory>
#include <string>
#include <unordered_map>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::soak
{
/// What a proxy does to the connections that pass it.
enum class LinkFault : std::uint8_t {
    None,
    Delay, ///< each piece arrives later
    Reset, ///< open connections are reset, new ones as well
    OneWay, ///< nothing comes back from the far end
    Silent, ///< nothing passes, and nothing is closed
};

/// A loopback proxy of TCP connections with faults that a test switches on. To be used on its loop's thread.
class FaultProxy
{
public:
    FaultProxy(net::EventLoop &loop, const net::Address &here, net::Address there)
        : loop(loop)
        , there(std::move(there))
        , listener(net::openListener(here))
    {
        this->loop.watch(this->listener, true, false, [this](bool, bool) { this->accept(); });
    }

    ~FaultProxy()
    {
        *this->alive = false;
        this->loop.unwatch(this->listener);
        ::close(this->listener);
        while (!this->ends.empty()) {
            this->drop(this->ends.begin()->first, false);
        }
    }

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    [[nodiscard]] net::Address address() const
    {
        return net::localAddress(this->listener);
    }

    void setFault(LinkFault changed)
    {
        this->fault = changed;
        if (changed == LinkFault::Reset) {
            while (!this->ends.empty()) {
                this->drop(this->ends.begin()->first, true);
            }
        } else if (changed == LinkFault::None) {
            // What was held back by a silent link arrives late.
            std::vector<int> descriptors;
            for (const auto &[descriptor, end] : this->ends) {
                descriptors.push_back(descriptor);
            }
            for (const auto descriptor : descriptors) {
                this->move(descriptor);
            }
        }
    }

private:
    static constexpr core::Duration delay = std::chrono::milliseconds(80); // twenty times the way that the store's answers take

    struct End
    {
        int other = -1;
        bool isFar = false; ///< towards the server
        std::uint64_t generation = 0;
    };

    void accept()
    {
        std::string peer;
        const int near = net::acceptConnection(this->listener, peer);
        if (near < 0) {
            return;
        }
        const int far = this->fault == LinkFault::Reset ? -1 : net::startConnect(this->there, {});
        if (far < 0) {
            reset(near);
            return;
        }
        // Whole writes keep the proxy simple; pieces are small and the machine is the same.
        fcntl(near, F_SETFL, fcntl(near, F_GETFL) & ~O_NONBLOCK);
        fcntl(far, F_SETFL, fcntl(far, F_GETFL) & ~O_NONBLOCK);
        this->add(near, far, false);
        this->add(far, near, true);
    }

    void add(int descriptor, int other, bool isFar)
    {
        this->ends[descriptor] = {other, isFar, ++this->nextGeneration};
        this->loop.watchEdgeTriggered(descriptor, [this, descriptor](const net::Readiness &) { this->move(descriptor); });
    }

    void move(int descriptor)
    {
        std::string buffer(64UL * 1024UL, '\0');
        for (;;) {
            const auto found = this->ends.find(descriptor);
            const bool isHeld =
                this->fault == LinkFault::Silent || (found != this->ends.end() && this->fault == LinkFault::OneWay && found->second.isFar);
            if (found == this->ends.end() || isHeld) {
                return;
            }
            const auto size = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size < 0 && errno == EAGAIN) {
                return;
            }
            if (size <= 0) {
                this->drop(descriptor, size < 0);
                return;
            }
            const auto other = found->second.other;
            const auto generation = this->ends[other].generation;
            std::string piece = buffer.substr(0, static_cast<std::size_t>(size));
            if (this->fault == LinkFault::Delay) {
                this->loop.callAfter(delay, [this, other, generation, piece = std::move(piece), held = this->alive] {
                    const auto target = *held ? this->ends.find(other) : this->ends.end();
                    if (*held && target != this->ends.end() && target->second.generation == generation) {
                        static_cast<void>(!::send(other, piece.data(), piece.size(), MSG_NOSIGNAL));
                    }
                });
            } else {
                static_cast<void>(!::send(other, piece.data(), piece.size(), MSG_NOSIGNAL));
            }
        }
    }

    static void reset(int descriptor)
    {
        const linger hard {1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        ::close(descriptor);
    }

    void drop(int descriptor, bool isReset)
    {
        const auto other = this->ends.at(descriptor).other;
        for (const auto end : {descriptor, other}) {
            if (this->ends.erase(end) > 0) {
                this->loop.unwatch(end);
                if (isReset) {
                    reset(end);
                } else {
                    ::close(end);
                }
            }
        }
    }

    net::EventLoop &loop;
    net::Address there;
    int listener;
    LinkFault fault = LinkFault::None;
    std::unordered_map<int, End> ends;
    std::uint64_t nextGeneration = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};
} // namespace figpulley::soak
