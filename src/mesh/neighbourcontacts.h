#pragma once

#include "mesh/meshcontext.h"
#include "net/httpexchange.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// First message of a contact, sent in one header to a neighbour's ingress.
struct ContactGreeting
{
    std::string node; ///< ip:port of the sender's ingress
    std::uint64_t configVersion = 0; ///< version of the sender's configuration; 0 for none

    [[nodiscard]] bool operator==(const ContactGreeting &) const = default;
};

[[nodiscard]] std::string encode(const ContactGreeting &greeting);

/// Decodes a header of an untrusted peer; returns nothing if it is malformed.
[[nodiscard]] std::optional<ContactGreeting> decodeContactGreeting(std::string_view text);

/// Keeps one request open to each node that has this one as a successor on the hash ring. It ends with the neighbour's process, and opens
/// again within half a second after the next process has started. A node that starts while the store is unavailable thereby learns of nodes
/// that it can ask.
class NeighbourContacts
{
public:
    /// @param onContact called when a neighbour opens a contact to this node, or renews it
    NeighbourContacts(MeshContext context, std::function<void(const ContactGreeting &)> onContact);
    ~NeighbourContacts();
    NeighbourContacts(const NeighbourContacts &) = delete;
    NeighbourContacts &operator=(const NeighbourContacts &) = delete;

    /// Opens the contacts, and follows the changes of the directory.
    void start();

    /// Keeps a contact to a node that has told its endpoint's departure, until its process has been away for long.
    void keep(const std::string &node);

    /// Accepts a contact of a neighbour.
    void accept(const std::shared_ptr<net::HttpExchange> &exchange);

    /// Ends the contacts of neighbours and refuses later ones, because the node stops.
    void close();

    /// Header that carries the greeting. Nodes of versions without it refuse the request.
    static constexpr const char *header = "Figpulley-Contact";

private:
    /// A contact that this node keeps open.
    struct Contact
    {
        net::EventLoop::TimerId retryTimer = net::EventLoop::noTimer;
        core::TimePoint failingSince {}; ///< time of the first of the latest failures in a row
        bool isFailing = false;
        bool isSending = false;
        bool isKept = false; ///< a later process of the node may have to learn of a departure
    };

    struct HeldExchange
    {
        std::shared_ptr<net::HttpExchange> exchange;
        net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    };

    void update();
    [[nodiscard]] bool isNeeded(const Contact &contact) const;
    void open(const std::string &node);
    void handleEnd(const std::string &node, bool isRenewal);
    void release(std::list<HeldExchange>::iterator position);

    MeshContext context;
    std::function<void(const ContactGreeting &)> onContact;
    std::map<std::string, Contact> contacts; // by the neighbour's ingress
    std::list<HeldExchange> held; // contacts that neighbours keep open
    net::EventLoop::TimerId updateTimer = net::EventLoop::noTimer;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a request may end later
    bool isClosed = false;
};
} // namespace figpulley::mesh
