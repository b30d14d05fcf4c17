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
/// Request of an operator to put a set of files in force.
struct ApplyRequest
{
    std::vector<config::SourceFile> files; ///< the complete set of files; must be valid
    std::string appliedBy;
    std::string appliedAt;
    std::string note;
    std::string applyId; ///< random; identifies this apply's own write of the root
    std::optional<std::uint64_t> baseRevision; ///< revision that must be in force, otherwise the apply fails with a conflict
    std::uint64_t revisionFloor = 0; ///< the new revision is higher than this one; used after the platform was restored from a backup
    bool isDryRun = false;
};

/// Result of an apply.
struct ApplyResult
{
    core::ErrorKind kind = core::ErrorKind::None;
    std::uint64_t revision = 0; ///< revision in force after the apply, as far as known
    std::string message; ///< description of the result for the operator
    ManifestDifference difference;
    bool wasConfirmedByReading = false; ///< the response to the write was lost, and a later read showed that the write took effect
    bool isUnchanged = false; ///< no write was made: the files equal those in force, or it was a dry run
};

/// Puts a set of files in force atomically. It first writes the parts under their content hashes, and then replaces the root by one
/// conditional update. The previous files stay in force until that update takes effect.
class ApplyProcess : public std::enable_shared_from_this<ApplyProcess>
{
public:
    using Callback = std::function<void(const ApplyResult &)>;

    /// Starts an apply.
    /// @param store the platform; must outlive the process
    /// @param onDone called once, possibly before this function returns
    static void start(store::ObjectStore &store, ApplyRequest request, Callback onDone);

private:
    ApplyProcess(store::ObjectStore &store, ApplyRequest request, Callback onDone);

    void readRoot();
    void handleRoot(const store::StoreResult &result);
    void writeNextPart();
    void archivePrevious();
    void writeRoot();
    void readBack();
    void handleReadBack(const store::StoreResult &result);
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
