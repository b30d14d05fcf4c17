#pragma once

#include "mesh/meshcontext.h"

#include "discovery/heartbeat.h"

#include <functional>
#include <memory>
#include <vector>

namespace figpulley::mesh
{
/// Hears the endpoint on this VM and keeps its record in the store. A departure is recorded before it is acknowledged, so that a
/// restarted node knows of it; while the store is away it is acknowledged after a short wait all the same, since the endpoint goes anyway.
class LocalRecorder : public std::enable_shared_from_this<LocalRecorder>
{
public:
    using Answer = std::function<void(int status)>;

    /// @param onClosed called when the endpoint takes no new requests any more
    LocalRecorder(MeshContext context, std::function<void()> onClosed);

    /// Reads the record that an earlier process left.
    void start();

    /// A heartbeat has arrived.
    /// @param answer called once with an HTTP status
    void hear(const discovery::Heartbeat &announcement, Answer answer);

    /// The endpoint has deregistered.
    void leave(const discovery::Deregistration &departure, Answer answer);

    /// Name of the collection that holds all records.
    static constexpr const char *collection = "figpulley-endpoints";

private:
    struct Waiter
    {
        std::uint64_t change = 0;
        Answer answer;
    };

    void readStored();
    void adoptStored(const store::ItemResult &result);
    void changed();
    void write();
    void written(std::uint64_t change, const store::ItemResult &result);
    void writeLater();
    void acknowledgeAfterWrite(Answer answer);
    void release(std::uint64_t change);
    void armSilenceCheck();
    void after(core::Duration delay, std::function<void(LocalRecorder &)> step);
    void logRecord(const char *cause) const;

    MeshContext context;
    std::function<void()> onClosed;
    std::vector<Waiter> waiters;
    std::uint64_t latestChange = 0; // counts changes of the record
    std::uint64_t writtenChange = 0; // the latest that the store has
    std::uint64_t storedRevision = 0; // of the object in the store
    int failures = 0;
    bool isStoredKnown = false; // storedRevision is what the store has, as far as is known
    bool isWriting = false;
    bool isReading = false;
};
} // namespace figpulley::mesh
