#pragma once

#include "mesh/meshcontext.h"
#include "net/httpexchange.h"
#include "store/changelog.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace figpulley::mesh
{
/// What a node asks a watcher of its zone for, in one header.
struct ChangeQuery
{
    std::string collection;
    std::uint64_t revision = 0; ///< changes after it are wanted; 0: all that the collection holds
    core::Duration wait {}; ///< time after which an empty answer is due

    [[nodiscard]] bool operator==(const ChangeQuery &) const = default;
};

[[nodiscard]] std::string encode(const ChangeQuery &query);

/// Reads a header of an untrusted peer.
[[nodiscard]] std::optional<ChangeQuery> decodeChangeQuery(std::string_view text);

/// Writes items as JSON.
[[nodiscard]] std::string encode(const store::CollectionItems &items);

/// Reads items of an untrusted peer; kind is PlatformUnavailable if the text cannot be read.
[[nodiscard]] store::CollectionItems decodeItems(std::string_view text);

/// Tells other nodes of the zone what this node hears from the store. It refuses while the store does not answer this node, or this
/// node itself asks another one: then the asker has to turn to the store.
class ChangeRelay
{
public:
    explicit ChangeRelay(MeshContext context);
    ~ChangeRelay();
    ChangeRelay(const ChangeRelay &) = delete;
    ChangeRelay &operator=(const ChangeRelay &) = delete;

    /// What is known of a collection.
    [[nodiscard]] store::ChangeLog &log(const std::string &collection);

    /// All changes up to the log's revision have been put there: answers those who wait for them.
    void caughtUp(const std::string &collection);

    /// Tells whether this node hears of a collection from the store itself now.
    void setDirect(const std::string &collection, bool isDirect);

    /// Answers a query, when there is something to tell.
    void accept(const std::shared_ptr<net::HttpExchange> &exchange);

    /// Refuses all who wait, since the node stops.
    void close();

    /// Header of a query, at a node's ingress.
    static constexpr const char *header = "Figpulley-Changes";

private:
    struct Waiter
    {
        ChangeQuery query;
        std::shared_ptr<net::HttpExchange> exchange;
        net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    };

    struct Topic
    {
        store::ChangeLog log;
        std::list<Waiter> waiters;
        bool isDirect = false;
    };

    using WaiterPosition = std::list<Waiter>::iterator;

    void wait(Topic &topic, ChangeQuery query, const std::shared_ptr<net::HttpExchange> &exchange);
    void refuseAll(Topic &topic);
    Waiter take(Topic &topic, WaiterPosition position);

    MeshContext context;
    std::map<std::string, Topic> topics;
    bool isClosed = false;
};
} // namespace figpulley::mesh
