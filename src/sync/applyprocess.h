#pragma once

#include "core/errorkind.h"
#include "store/objectstore.h"
#include "sync/snapshot.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figpulley::sync
{
/// What an operator asks to be in force.
struct ApplyRequest
{
    std::vector<config::SourceFile> files; ///< valid, all of them
    std::string appliedBy;
    std::string appliedAt;
    std::string note;
    std::string applyId;
    std::optional<std::uint64_t> baseRevision; ///< refuse if another revision is in force
    std::uint64_t revisionFloor = 0; ///< the new revision exceeds it, for a platform restored from a backup
    bool isDryRun = false;
};

/// How an apply ended.
struct ApplyResult
{
    core::ErrorKind kind = core::ErrorKind::None;
    std::uint64_t revision = 0; ///< in force after it
    std::string message; ///< for the operator
    ManifestDifference difference;
    bool wasConfirmedByReading = false; ///< the write's answer was lost, and reading back showed that it took effect
    bool isUnchanged = false;
};

/// Puts a set of files in force as a whole: parts first, by content hash, then the root by one conditional update.
/// Until that update nothing has changed; after it everything has.
class ApplyProcess : public std::enable_shared_from_this<ApplyProcess>
{
public:
    using Callback = std::function<void(const ApplyResult &)>;

    /// Starts an apply.
    /// @param store the platform; has to outlive the process
    /// @param onDone called once, possibly before this returns
    static void start(store::ObjectStore &store, ApplyRequest request, Callback onDone);

private:
    ApplyProcess(store::ObjectStore &store, ApplyRequest request, Callback onDone);

    void readRoot();
    void plan(const store::StoreResult &result);
    void writeNextPart();
    void archivePrevious();
    void writeRoot();
    void readBack();
    void settle(const store::StoreResult &result);
    void reportConflict(const std::optional<Manifest> &present);
    void fail(core::ErrorKind kind, std::string message);
    void succeed(bool wasConfirmedByReading);

    store::ObjectStore &store;
    ApplyRequest request;
    Callback onDone;
    Manifest next;
    std::optional<Manifest> previous;
    std::string previousText;
    std::uint64_t rootVersion = 0;
    ManifestDifference difference;
    std::size_t nextPart = 0;
    int readsLeft = 0;
    int writesLeft = 0;
};
} // namespace figpulley::sync
