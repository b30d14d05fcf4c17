#include "sync/applyprocess.h"

#include <algorithm>

#include <fmt/format.h>

namespace figpulley::sync
{
namespace
{
using core::ErrorKind;
using store::StoreResult;

constexpr int readTries = 5;
constexpr int writeTries = 3;

std::vector<PartReference> referencesOf(const std::vector<config::SourceFile> &files)
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
    , readsLeft(readTries)
    , writesLeft(writeTries)
{
}

void ApplyProcess::start(store::ObjectStore &store, ApplyRequest request, Callback onDone)
{
    const std::shared_ptr<ApplyProcess> process(new ApplyProcess(store, std::move(request), std::move(onDone)));
    for (const auto &file : process->request.files) {
        if (file.text.size() > store::maxValueBytes) {
            process->fail(
                ErrorKind::BodyTooLarge,
                fmt::format("{} has {} bytes; the platform holds {} at most: split it", file.name, file.text.size(), store::maxValueBytes));
            return;
        }
    }
    process->readRoot();
}

void ApplyProcess::readRoot()
{
    this->store.get(std::string(rootKey), [self = this->shared_from_this()](const StoreResult &result) { self->plan(result); });
}

void ApplyProcess::plan(const StoreResult &result)
{
    if (result.kind != ErrorKind::None && result.kind != ErrorKind::NotFound) {
        this->fail(ErrorKind::PlatformUnavailable, "the platform does not answer; nothing was changed");
        return;
    }
    this->rootVersion = result.object.version;
    if (result.kind == ErrorKind::None) {
        this->previous = decodeManifest(result.object.value);
        this->previousText = result.object.value;
        if (!this->previous) {
            this->fail(ErrorKind::Internal, fmt::format("the object {} is not a manifest; nothing was changed", rootKey));
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
    this->next.parts = referencesOf(this->request.files);
    this->difference = differenceOf(this->previous ? this->previous->parts : std::vector<PartReference>(), this->next.parts);
    this->next.summary = this->difference.toString();
    const bool isSame = this->difference.isEmpty() && this->previous && this->request.revisionFloor < present;
    if (isSame || this->request.isDryRun) {
        ApplyResult outcome;
        outcome.revision = present;
        outcome.difference = this->difference;
        outcome.isUnchanged = true;
        outcome.message =
            isSame ? fmt::format("no difference to revision {}", present) : fmt::format("would change: {}", this->next.summary);
        this->onDone(outcome);
        return;
    }
    this->writeNextPart();
}

// A part's key is its content's hash, so writing one twice does no harm and a part that exists needs no writing.
void ApplyProcess::writeNextPart()
{
    if (this->nextPart == this->request.files.size()) {
        this->archivePrevious();
        return;
    }
    const auto &file = this->request.files[this->nextPart];
    const auto key = partKey(contentHash(file.text));
    this->store.put(key, file.text, {0}, [self = this->shared_from_this()](const StoreResult &result) {
        const bool isThere = result.kind == ErrorKind::None || result.kind == ErrorKind::Conflict;
        if (isThere) {
            ++self->nextPart;
            self->writesLeft = writeTries;
            self->writeNextPart();
        } else if (--self->writesLeft > 0) {
            self->writeNextPart();
        } else {
            self->fail(ErrorKind::PlatformUnavailable, "the platform does not take the files; the configuration in force has not changed");
        }
    });
}

// The manifest in force is kept under its revision before it is replaced, so that the audit trail has no gaps.
void ApplyProcess::archivePrevious()
{
    if (!this->previous) {
        this->writeRoot();
        return;
    }
    this->store.put(historyKey(this->previous->revision), this->previousText, {0},
                    [self = this->shared_from_this()](const StoreResult &result) {
                        const bool isThere = result.kind == ErrorKind::None || result.kind == ErrorKind::Conflict;
                        if (isThere) {
                            self->writesLeft = writeTries;
                            self->writeRoot();
                        } else if (--self->writesLeft > 0) {
                            self->archivePrevious();
                        } else {
                            self->fail(ErrorKind::PlatformUnavailable,
                                       "the platform does not take the audit entry; the configuration in force has not changed");
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
                        // A conflict may be with this apply's own write, whose answer was lost.
                        self->readBack();
                    });
}

void ApplyProcess::readBack()
{
    this->store.get(std::string(rootKey), [self = this->shared_from_this()](const StoreResult &result) { self->settle(result); });
}

void ApplyProcess::settle(const StoreResult &result)
{
    const bool isRead = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
    if (!isRead) {
        if (--this->readsLeft > 0) {
            this->readBack();
            return;
        }
        this->fail(ErrorKind::PlatformOutcomeUnknown,
                   fmt::format("the platform does not answer: revision {} may or may not be in force; apply again to find out",
                               this->next.revision));
        return;
    }
    const auto present = result.kind == ErrorKind::None ? decodeManifest(result.object.value) : std::nullopt;
    if (present && present->applyId == this->next.applyId) {
        this->succeed(true);
        return;
    }
    const bool isUntouched = result.object.version == this->rootVersion;
    if (isUntouched && --this->writesLeft > 0) {
        this->writeRoot();
        return;
    }
    if (isUntouched) {
        this->fail(ErrorKind::PlatformUnavailable, "the platform does not take the change; the configuration in force has not changed");
        return;
    }
    this->reportConflict(present);
}

void ApplyProcess::reportConflict(const std::optional<Manifest> &present)
{
    ApplyResult outcome;
    outcome.kind = ErrorKind::Conflict;
    outcome.revision = present ? present->revision : 0;
    const auto before = this->previous ? this->previous->parts : std::vector<PartReference>();
    const auto what = present ? differenceOf(before, present->parts).toString() : std::string("the configuration was removed");
    outcome.message = present ? fmt::format("{} applied revision {} at {} meanwhile ({}); look at it and apply again", present->appliedBy,
                                            present->revision, present->appliedAt, what.empty() ? present->summary : what)
                              : what;
    this->onDone(outcome);
}

void ApplyProcess::fail(ErrorKind kind, std::string message)
{
    ApplyResult outcome;
    outcome.kind = kind;
    outcome.revision = this->previous ? this->previous->revision : 0;
    outcome.message = std::move(message);
    this->onDone(outcome);
}

void ApplyProcess::succeed(bool wasConfirmedByReading)
{
    ApplyResult outcome;
    outcome.revision = this->next.revision;
    outcome.difference = this->difference;
    outcome.wasConfirmedByReading = wasConfirmedByReading;
    outcome.message = fmt::format("revision {} is accepted: {}{}", this->next.revision, this->next.summary,
                                  wasConfirmedByReading ? " (the answer was lost; confirmed by reading back)" : "");
    this->onDone(outcome);
}
} // namespace figpulley::sync
