#include "sync/applyprocess.h"

#include <algorithm>

#include <fmt/format.h>

namespace figpulley::sync
{
namespace
{
using core::ErrorKind;
using store::StoreResult;

constexpr int maxReadAttempts = 5;
constexpr int maxWriteAttempts = 3;

std::vector<PartReference> makePartReferences(const std::vector<config::SourceFile> &files)
{
    std::vector<PartReference> parts;
    parts.reserve(files.size());
    for (const auto &file : files) {
        parts.push_back({file.name, contentHash(file.text), file.text.size()});
    }
    std::sort(parts.begin(), parts.end(), [](const PartReference &left, const PartReference &right) { return left.name < right.name; });
    return parts;
}
} // namespace

ApplyProcess::ApplyProcess(store::ObjectStore &store, ApplyRequest request, Callback onDone)
    : store(store)
    , request(std::move(request))
    , onDone(std::move(onDone))
    , readsLeft(maxReadAttempts)
    , writesLeft(maxWriteAttempts)
{
}

void ApplyProcess::start(store::ObjectStore &store, ApplyRequest request, Callback onDone)
{
    const std::shared_ptr<ApplyProcess> process(new ApplyProcess(store, std::move(request), std::move(onDone)));
    for (const auto &file : process->request.files) {
        if (file.text.size() > store::maxValueBytes) {
            process->fail(ErrorKind::BodyTooLarge,
                          fmt::format("{} has {} bytes, but the platform stores at most {} bytes per object; split the file", file.name,
                                      file.text.size(), store::maxValueBytes));
            return;
        }
    }
    process->readRoot();
}

void ApplyProcess::readRoot()
{
    this->store.get(std::string(rootKey), [self = this->shared_from_this()](const StoreResult &result) { self->handleRoot(result); });
}

void ApplyProcess::handleRoot(const StoreResult &result)
{
    if (result.kind != ErrorKind::None && result.kind != ErrorKind::NotFound) {
        this->fail(ErrorKind::PlatformUnavailable, "the platform does not respond; the configuration in force has not changed");
        return;
    }
    this->rootVersion = result.object.version;
    if (result.kind == ErrorKind::None) {
        this->previous = decodeManifest(result.object.value);
        this->previousText = result.object.value;
        if (!this->previous) {
            this->fail(ErrorKind::Internal,
                       fmt::format("the platform object {} is not a valid manifest; the configuration in force has not changed", rootKey));
            return;
        }
    }
    const auto present = this->previous ? this->previous->revision : 0;
    if (this->request.baseRevision && *this->request.baseRevision != present) {
        this->reportConflict(this->previous);
        return;
    }
    this->next.revision = std::max(present, this->request.revisionFloor) + 1;
    this->next.applyId = this->request.applyId;
    this->next.appliedBy = this->request.appliedBy;
    this->next.appliedAt = this->request.appliedAt;
    this->next.note = this->request.note;
    this->next.parts = makePartReferences(this->request.files);
    this->difference = differenceOf(this->previous ? this->previous->parts : std::vector<PartReference>(), this->next.parts);
    this->next.summary = this->difference.toString();
    const bool isSame = this->difference.isEmpty() && this->previous && this->request.revisionFloor < present;
    if (isSame || this->request.isDryRun) {
        ApplyResult applyResult;
        applyResult.revision = present;
        applyResult.difference = this->difference;
        applyResult.isUnchanged = true;
        applyResult.message =
            isSame ? fmt::format("no difference to revision {}", present) : fmt::format("would change: {}", this->next.summary);
        this->onDone(applyResult);
        return;
    }
    this->writeNextPart();
}

// Writes the parts one after the other. The key of a part is the hash of its content, so the write is idempotent, and a conflict means
// that the part is stored already.
void ApplyProcess::writeNextPart()
{
    if (this->nextPart == this->request.files.size()) {
        this->archivePrevious();
        return;
    }
    const auto &file = this->request.files[this->nextPart];
    const auto key = partKey(contentHash(file.text));
    this->store.put(key, file.text, {0}, [self = this->shared_from_this()](const StoreResult &result) {
        const bool isStored = result.kind == ErrorKind::None || result.kind == ErrorKind::Conflict;
        if (isStored) {
            ++self->nextPart;
            self->writesLeft = maxWriteAttempts;
            self->writeNextPart();
        } else if (--self->writesLeft > 0) {
            self->writeNextPart();
        } else {
            self->fail(ErrorKind::PlatformUnavailable,
                       "the files could not be written to the platform; the configuration in force has not changed");
        }
    });
}

// Stores the manifest in force under its revision before it is replaced, so that the history has no gaps.
void ApplyProcess::archivePrevious()
{
    if (!this->previous) {
        this->writeRoot();
        return;
    }
    this->store.put(
        historyKey(this->previous->revision), this->previousText, {0}, [self = this->shared_from_this()](const StoreResult &result) {
            const bool isStored = result.kind == ErrorKind::None || result.kind == ErrorKind::Conflict;
            if (isStored) {
                self->writesLeft = maxWriteAttempts;
                self->writeRoot();
            } else if (--self->writesLeft > 0) {
                self->archivePrevious();
            } else {
                self->fail(ErrorKind::PlatformUnavailable,
                           "the history entry could not be written to the platform; the configuration in force has not changed");
            }
        });
}

void ApplyProcess::writeRoot()
{
    this->store.put(std::string(rootKey), encode(this->next), {this->rootVersion},
                    [self = this->shared_from_this()](const StoreResult &result) {
                        if (result.kind == ErrorKind::None) {
                            self->succeed(false);
                            return;
                        }
                        // After a conflict or an error, the write may still have taken effect: a conflict may be with this apply's
                        // own write, if the response to it was lost.
                        self->readBack();
                    });
}

void ApplyProcess::readBack()
{
    this->store.get(std::string(rootKey), [self = this->shared_from_this()](const StoreResult &result) { self->handleReadBack(result); });
}

// Decides the result of a failed write of the root from the root that was read afterwards.
void ApplyProcess::handleReadBack(const StoreResult &result)
{
    const bool isRead = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
    if (!isRead) {
        if (--this->readsLeft > 0) {
            this->readBack();
            return;
        }
        this->fail(ErrorKind::PlatformOutcomeUnknown,
                   fmt::format("the platform does not respond; revision {} may or may not be in force; apply again to find out",
                               this->next.revision));
        return;
    }
    const auto present = result.kind == ErrorKind::None ? decodeManifest(result.object.value) : std::nullopt;
    if (present && present->applyId == this->next.applyId) {
        this->succeed(true);
        return;
    }
    const bool isUnmodified = result.object.version == this->rootVersion;
    if (isUnmodified && --this->writesLeft > 0) {
        this->writeRoot();
        return;
    }
    if (isUnmodified) {
        this->fail(ErrorKind::PlatformUnavailable,
                   "the new revision could not be written to the platform; the configuration in force has not changed");
        return;
    }
    this->reportConflict(present);
}

void ApplyProcess::reportConflict(const std::optional<Manifest> &present)
{
    ApplyResult applyResult;
    applyResult.kind = ErrorKind::Conflict;
    applyResult.revision = present ? present->revision : 0;
    const auto before = this->previous ? this->previous->parts : std::vector<PartReference>();
    const auto changeSummary = present ? differenceOf(before, present->parts).toString() : std::string("the configuration was removed");
    applyResult.message = present
        ? fmt::format("{} applied revision {} at {} in the meantime ({}); review that change and apply again", present->appliedBy,
                      present->revision, present->appliedAt, changeSummary.empty() ? present->summary : changeSummary)
        : changeSummary;
    this->onDone(applyResult);
}

void ApplyProcess::fail(ErrorKind kind, std::string message)
{
    ApplyResult applyResult;
    applyResult.kind = kind;
    applyResult.revision = this->previous ? this->previous->revision : 0;
    applyResult.message = std::move(message);
    this->onDone(applyResult);
}

void ApplyProcess::succeed(bool wasConfirmedByReading)
{
    ApplyResult applyResult;
    applyResult.revision = this->next.revision;
    applyResult.difference = this->difference;
    applyResult.wasConfirmedByReading = wasConfirmedByReading;
    applyResult.message = fmt::format("revision {} is accepted: {}{}", this->next.revision, this->next.summary,
                                      wasConfirmedByReading ? " (the response was lost; confirmed by reading the root)" : "");
    this->onDone(applyResult);
}
} // namespace figpulley::sync
