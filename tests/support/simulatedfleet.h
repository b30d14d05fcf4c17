#pragma once

#include "support/boards.h"

#include "members/swim.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figpulley::tests
{
/// Simulates the network between several decision cores: they exchange encoded datagrams in virtual time.
class SimulatedFleet
{
public:
    struct Core
    {
        std::unique_ptr<board::Blackboard> board;
        members::Swim swim;
        bool isUp = true;
    };

    explicit SimulatedFleet(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Adds a node at the next free address; the nodes with the lowest and the highest address are its seeds.
    Core &add(const std::string &zone, const std::string &service, std::uint64_t incarnation = 100)
    {
        const auto address = "10.0." + std::to_string(this->cores.size()) + ".1:1";
        return this->startNode(address, zone, service, incarnation);
    }

    /// Starts a node at an address and replaces a node that is already there.
    Core &startNode(const std::string &address, const std::string &zone, const std::string &service, std::uint64_t incarnation)
    {
        auto board = makeBoard(service);
        board->identity.availabilityZone = zone;
        board->identity.controlAddress = address;
        board->identity.ingressAddress = address + "/in";
        board->identity.id = members::nodeIdOf(address);
        board->identity.incarnation = core::Incarnation {incarnation};
        members::SwimOptions options;
        if (!this->cores.empty()) {
            options.seeds = {this->cores.begin()->first, this->cores.rbegin()->first};
        }
        auto core = std::make_unique<Core>(Core {std::move(board), members::Swim(options), true});
        core->swim.start(*core->board, at(this->now));
        auto &slot = this->cores[address];
        slot = std::move(core);
        return *slot;
    }

    /// Advances virtual time in steps of 50 ms; a datagram arrives one step after it was sent.
    void run(std::int64_t milliseconds)
    {
        for (const auto end = this->now + milliseconds; this->now < end; this->now += 50) {
            const auto arriving = std::move(this->inFlight);
            this->inFlight.clear();
            for (const auto &[from, outgoing] : arriving) {
                const auto target = this->cores.find(outgoing.to);
                if (target == this->cores.end() || !target->second->isUp
                    || (this->isPartitioned && this->isPartitioned(from, outgoing.to))) {
                    continue;
                }
                const auto decoded = members::decodeSwimMessage(members::encode(outgoing.message));
                this->send(outgoing.to, target->second->swim.receive(*target->second->board, *decoded, at(this->now), this->random));
            }
            for (auto &[address, core] : this->cores) {
                if (core->isUp) {
                    this->send(address, core->swim.tick(*core->board, at(this->now), this->random));
                }
            }
        }
    }

    void send(const std::string &from, const members::OutgoingMessages &list)
    {
        for (const auto &outgoing : list) {
            this->inFlight.push_back({from, outgoing});
            ++this->datagrams;
            this->maxDatagramBytes = std::max(this->maxDatagramBytes, members::encode(outgoing.message).size());
        }
    }

    /// Counts the running nodes whose entry of the member at `address` satisfies `predicate`.
    [[nodiscard]] int countNodesWhere(const std::string &address, const std::function<bool(const members::Member &)> &predicate) const
    {
        int count = 0;
        for (const auto &[own, core] : this->cores) {
            const auto &members = core->board->membership.read().members;
            const auto found = members.find(core::value(members::nodeIdOf(address)));
            count += own != address && core->isUp && found != members.end() && predicate(found->second) ? 1 : 0;
        }
        return count;
    }

    /// Counts the running nodes that know exactly `count` live members.
    [[nodiscard]] int countNodesWithLiveMembers(std::size_t count) const
    {
        int complete = 0;
        for (const auto &[own, core] : this->cores) {
            std::size_t live = 0;
            for (const auto &[id, member] : core->board->membership.read().members) {
                live += member.announcement.status == members::MemberStatus::Alive ? 1 : 0;
            }
            complete += core->isUp && live == count ? 1 : 0;
        }
        return complete;
    }

    std::map<std::string, std::unique_ptr<Core>> cores;
    std::function<bool(const std::string &, const std::string &)> isPartitioned; ///< whether datagrams from one address to another are lost
    core::Random random;
    std::int64_t now = 0; ///< virtual time, in milliseconds
    std::uint64_t datagrams = 0; ///< number of datagrams sent
    std::size_t maxDatagramBytes = 0; ///< size of the largest datagram sent, in bytes

private:
    struct InFlightDatagram
    {
        std::string from;
        members::OutgoingMessage outgoing;
    };
    std::vector<InFlightDatagram> inFlight;
};
} // namespace figpulley::tests
