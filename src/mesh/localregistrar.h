#pragma once

#include "mesh/departurenotices.h"
#include "mesh/endpointprobe.h"
#include "mesh/meshcontext.h"

#include "discovery/endpointrecord.h"
#include "discovery/heartbeat.h"
#include "store/position.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figpulley::mesh
{
/// Receives the heartbeats of the endpoint on this VM and keeps its record in the store. A departure is acknowledged only once it will
/// outlast this process: it is in the store and the successors of this node know it, or, while the store is unavailable, the successors
/// alone know it. Otherwise it is refused, and the endpoint exits without an acknowledgement or calls again. What a restore of the store
/// has lost is written again.
class LocalRegistrar : public std::enable_shared_from_this<LocalRegistrar>
{
public:
    using StatusCallback = std::function<void(int status)>;

    /// @param onClosed called when the endpoint accepts no new requests any more
    LocalRegistrar(MeshContext context, std::function<void()> onClosed);

    /// Starts to check for missing heartbeats.
    void start();

    /// Reads the record that an earlier process left in the store. Until then nothing is written.
    void readStoredRecord();

    /// Counts a successor of this node that has answered what it knows, if it has kept for long enough what it was told. Its record must be
    /// merged before.
    void countWitness(const std::string &node, core::Duration keptFor);

    /// Merges the record that other nodes know.
    void mergePeerRecord(const discovery::EndpointRecord &record);

    /// Processes a heartbeat.
    /// @param respond called once with an HTTP status
    void handleHeartbeat(const discovery::Heartbeat &heartbeat, StatusCallback respond);

    /// Processes the endpoint's deregistration.
    /// @param respond called once with an HTTP status
    void handleDeparture(const discovery::Deregistration &deregistration, StatusCallback respond);

    /// Processes a response of the endpoint that states that it is leaving.
    void handleLeavingResponse(const std::string &endpointId, std::int64_t incarnation);

    /// Compares the record with what the collection has shown of it, and writes it again if the store has lost it or holds another one.
    /// @param stored record in the store; nothing if there is none or it cannot be read
    /// @param position position up to which all changes of the collection were seen
    void confirmRecord(const std::optional<discovery::EndpointRecord> &stored, store::Position position);

    /// Name of the collection that holds the records of all endpoints.
    static constexpr const char *collection = "figpulley-endpoints";

private:
    struct PendingAcknowledgement
    {
        std::uint64_t change = 0;
        StatusCallback respond;
    };

    void handleStoredRecord(const store::ItemResult &result);
    void handleHealthy(const std::string &endpointId, core::TimePoint askedAt);
    void writeChange();
    void writeRecord();
    void handleWriteResult(std::uint64_t change, const store::ItemResult &result);
    void scheduleWriteRetry();
    void tellDeparture();
    [[nodiscard]] bool willOutlast(std::uint64_t change, bool isOverdue) const noexcept;
    void acknowledgeWhenKept(StatusCallback respond);
    void acknowledgeKept();
    void endWait(std::uint64_t change);
    void scheduleHeartbeatCheck();
    void runAfter(core::Duration delay, std::function<void(LocalRegistrar &)> step);
    void logState(const char *cause) const;

    MeshContext context;
    std::function<void()> onClosed;
    std::shared_ptr<EndpointProbe> probe;
    core::TimePoint startedAt = core::steadyNow();
    DepartureNotices notices;
    std::set<std::string> witnesses; // successors that countWitness() has counted
    std::vector<PendingAcknowledgement> pendingAcknowledgements;
    std::uint64_t toldChange = 0; // number of the latest change that was told to the successors; 0 for none
    DepartureNotices::Progress telling; // of that change
    std::uint64_t latestChange = 0; // number of the latest change of the record
    std::uint64_t writtenChange = 0; // number of the latest change that the store has acknowledged; a restore may have lost it
    store::Position storedPosition; // position of the object in the store; revision 0 if there is none
    int failureCount = 0;
    bool isStoredPositionKnown = false; // storedPosition is up to date, as far as the node knows
    bool isRewriteScheduled = false;
    bool isWriting = false;
    bool isReading = false;
};
} // namespace figpulley::mesh
