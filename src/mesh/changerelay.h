#pragma once

#include "mesh/answerpool.h"
#include "mesh/meshcontext.h"
#include "net/httpexchange.h"
#include "store/changelog.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// Request for the changes of a collection, sent in one header to a node of the zone that watches the store.
struct ChangeQuery
{
    std::string collection;
    std::uint64_t revision = 0; ///< revision after which changes are requested; 0 requests all objects of the collection
    core::Duration wait {}; ///< time without changes after which an empty response is sent
    std::uint64_t era = 0; ///< era of the store that the revision belongs to; 0 if the sender states none. Sent in a header of its own
    std::optional<std::string> after {}; ///< last name of the previous page of all objects, empty for the first page; nothing if the sender
                                         ///< takes only the whole list. Sent in a header of its own

    [[nodiscard]] bool operator==(const ChangeQuery &) const = default;
};

[[nodiscard]] std::string encode(const ChangeQuery &query);

/// Decodes a header of an untrusted peer; returns nothing if it is malformed.
[[nodiscard]] std::optional<ChangeQuery> decodeChangeQuery(std::string_view text);

/// Encodes the name after which a page of all objects begins.
[[nodiscard]] std::string encodePageStart(std::string_view after);

/// Decodes the name after which a page begins; returns nothing if the header is missing or malformed.
[[nodiscard]] std::optional<std::string> decodePageStart(std::string_view text);

/// Encodes items as JSON.
[[nodiscard]] std::string encode(const store::CollectionItems &items);

/// Decodes JSON items of an untrusted peer. The kind is PlatformUnavailable if the text is malformed.
[[nodiscard]] store::CollectionItems decodeItems(std::string_view text);

/// Serves the changes that this node reads from the store, or learns from another node, to nodes of its zone. It refuses queries while it
/// learns of no changes itself; the sender then queries another node or the store. A query with a revision of an earlier era is answered
/// as if the history was gone, once the collection was listed in the current era. Nodes that ask for the same get one text, and while the
/// texts that are being written fill the pool of answers, further queries wait.
class ChangeRelay
{
public:
    explicit ChangeRelay(MeshContext context);
    ~ChangeRelay();
    ChangeRelay(const ChangeRelay &) = delete;
    ChangeRelay &operator=(const ChangeRelay &) = delete;

    /// Returns the change log of a collection; creates it on first use.
    [[nodiscard]] store::ChangeLog &changeLog(const std::string &collection, store::ChangeLogLimits limits = {});

    /// Returns the size of the names and contents that all change logs keep.
    [[nodiscard]] std::size_t logBytes() const noexcept;

    /// Answers the waiting queries for which the log has changes, as far as the pool of answers has room. Must be called after all
    /// changes up to the log's revision have been added to it.
    void answerWaiters(const std::string &collection);

    /// Sets whether the log of a collection is kept up to date, by reads from the store or through another node. Refuses the waiting
    /// queries if it is not.
    void setUpToDate(const std::string &collection, bool isUpToDate);

    /// Answers a query as soon as there are changes after its revision, at the latest after its wait.
    void accept(const std::shared_ptr<net::HttpExchange> &exchange);

    /// Refuses all waiting and later queries, because the node stops.
    void close();

    /// Header that carries a query to a node's ingress.
    static constexpr const char *header = "Figpulley-Changes";

    /// Header with the era of the store that the sender of a query knows of. Nodes of versions without it ignore it.
    static constexpr const char *eraHeader = "Figpulley-Era";

    /// Header of a sender that takes all objects in pages. Nodes of versions without it ignore it and answer with the whole list.
    static constexpr const char *pageHeader = "Figpulley-Page";

    /// Size of the names and contents from which an answer ends; the sender continues with the next query.
    static constexpr std::size_t maxPageBytes = store::maxValueBytes;

private:
    struct Waiter
    {
        ChangeQuery query;
        std::shared_ptr<net::HttpExchange> exchange;
        net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    };

    // What an answer with objects depends on.
    struct AnswerKey
    {
        std::uint64_t era = 0;
        std::uint64_t revision = 0; // revision of the log
        std::uint64_t firstChange = 0; // revision of the first change in the answer; 0 for a list of all objects
        std::optional<std::string> after; // name after which a page of such a list begins

        [[nodiscard]] bool operator==(const AnswerKey &) const = default;
    };

    struct CollectionState
    {
        store::ChangeLog log;
        std::list<Waiter> waiters;
        AnswerKey latestKey;
        std::weak_ptr<const std::string> latestText; // text of the latest answer, as long as a connection writes it
        bool isUpToDate = true; // before the first read, queries wait for it
    };

    using WaiterPosition = std::list<Waiter>::iterator;

    // Whether the log holds a complete list of the current era of the store.
    [[nodiscard]] bool isListed(const CollectionState &state) const;
    // Whether the log may answer queries.
    [[nodiscard]] bool isServing(const CollectionState &state) const;
    [[nodiscard]] std::shared_ptr<const std::string> textOf(CollectionState &state, const ChangeQuery &query, std::uint64_t firstChange);
    [[nodiscard]] std::optional<net::HttpResponse> answer(CollectionState &state, const ChangeQuery &query);
    void answerAll();
    void addWaiter(CollectionState &state, ChangeQuery query, const std::shared_ptr<net::HttpExchange> &exchange);
    void refuseWaiters(CollectionState &state);
    Waiter removeWaiter(CollectionState &state, WaiterPosition position);

    MeshContext context;
    std::map<std::string, CollectionState> collections;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a posted callback may run later
    bool isAnsweringPosted = false;
    bool isClosed = false;
};
} // namespace figpulley::mesh
