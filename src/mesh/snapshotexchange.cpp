#include "mesh/snapshotexchange.h"

#include "core/json.h"
#include "core/log.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "store/objectstore.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration headTimeout = 500ms; // shorter than the time in which a change has to be active
constexpr core::Duration fetchTimeout = 1500ms; // a large configuration goes to many nodes at once
// Names and contents of a page may be escaped with up to six bytes each.
constexpr std::size_t maxSnapshotBytes = 8 * store::maxValueBytes;
constexpr std::size_t maxRecordsBytes = store::maxValueBytes; // of the records in one snapshot; the next one goes on with the others
constexpr core::Duration maxAge = 500ms; // for which an answer that is being written is sent to others as well
constexpr core::Duration stallTimeout = 2s; // longer than the sender of a request waits
constexpr int httpOk = 200;
constexpr int httpServiceUnavailable = 503;
const std::string allRecords = "1";
constexpr const char *keptForKey = "kept_for_ms";
} // namespace

SnapshotExchange::SnapshotExchange(MeshContext context, ConfigUpdater &config, DirectoryUpdater &directory)
    : context(context)
    , config(config)
    , directory(directory)
{
}

void SnapshotExchange::fetchIfNewer(const std::string &node, std::uint64_t version)
{
    if (version <= this->config.version() || this->isFetching) {
        return;
    }
    this->isFetching = true;
    this->fetchAll(node, [this](const SnapshotSummary &) { this->isFetching = false; });
}

void SnapshotExchange::fetchAll(const std::string &node, SnapshotCallback onDone)
{
    this->fetch(node, allRecords, std::move(onDone));
}

void SnapshotExchange::fetchOwn(const std::string &node, SnapshotCallback onDone)
{
    this->fetch(node, this->context.settings.ingress.toString(), std::move(onDone));
}

void SnapshotExchange::fetch(const std::string &node, const std::string &selection, SnapshotCallback onDone)
{
    net::ClientRequest request;
    request.url = fmt::format("http://{}/", node);
    request.headers.push_back({header, selection});
    request.headTimeout = headTimeout;
    request.timeout = fetchTimeout;
    this->context.client.fetch(
        request, maxSnapshotBytes,
        [this, node, onDone = std::move(onDone), token = std::weak_ptr<bool>(this->lifetimeToken)](const net::ClientResponse &response) {
            if (!token.expired()) {
                onDone(this->handleSnapshot(node, response));
            }
        });
}

void SnapshotExchange::accept(std::string_view selection, net::HttpExchange &exchange)
{
    const auto now = core::steadyNow();
    const bool isOfAll = selection == allRecords;
    auto text = isOfAll ? this->latestText.lock() : nullptr;
    if (!text || this->latestVersion != this->config.version() || now - this->latestMadeAt > maxAge) {
        if (this->context.answers.isFull()) {
            // The sender asks again with the next request that shows a newer version.
            core::log(core::LogLevel::Warning, "snapshot.refused", {{"answer_bytes", fmt::to_string(this->context.answers.bytes())}});
            exchange.respond({httpServiceUnavailable, {}, {}});
            return;
        }
        text = this->context.answers.add(this->snapshot(selection));
    }
    if (isOfAll) {
        this->latestMadeAt = this->latestText.lock() == text ? this->latestMadeAt : now;
        this->latestText = text;
        this->latestVersion = this->config.version();
    }
    exchange.respond({httpOk, {{"Content-Type", "application/json"}}, {}, std::move(text), stallTimeout});
}

// Encodes the text part by part, so that no document beside it holds a further copy.
std::string SnapshotExchange::snapshot(std::string_view selection)
{
    const auto encode = [](const nlohmann::json &value) { return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); };
    std::string text = R"({"config":)" + encode(this->context.board.config.read().source) + R"(,"endpoints":[)";
    const auto recordsBegin = text.size();
    const auto add = [&](const discovery::KnownEndpoint &known) {
        text += text.size() == recordsBegin ? "" : ",";
        text += encode({{"era", known.position.era}, {"revision", known.position.revision}, {"record", discovery::encode(known.record)}});
    };
    const auto &directory = this->context.board.directory.read();
    if (const auto *selected = directory.find(selection)) {
        add(*selected);
    } else if (selection == allRecords) {
        const auto records = directory.allEndpoints();
        for (std::size_t sent = 0; sent < records.size() && text.size() - recordsBegin < maxRecordsBytes; ++sent) {
            add(*records[this->nextRecord++ % records.size()]);
        }
        this->nextRecord %= std::max<std::size_t>(1, records.size());
    }
    // Before the first process of a node, nothing was told to it.
    const auto uptime = core::steadyNow() - this->startedAt;
    const auto keptFor = this->context.board.local.read().isFirstProcess() ? uptime + discovery::maxHeartbeatDelay : uptime;
    return text + fmt::format(R"(],"{}":{}}})", keptForKey, core::toMilliseconds(keptFor));
}

SnapshotSummary SnapshotExchange::handleSnapshot(const std::string &node, const net::ClientResponse &response)
{
    if (response.result.kind != core::ErrorKind::None || response.head.status != httpOk) {
        core::log(core::LogLevel::Warning, "snapshot.failed",
                  {{"node", node}, {"kind", std::string(core::errorProperties(response.result.kind).name)}});
        return {};
    }
    const auto now = core::steadyNow();
    try {
        const auto object = core::parseJson(response.body);
        // A node that has just started has no configuration yet.
        const auto config = object.at("config").get<std::string>();
        if (!config.empty()) {
            this->config.activateIfNewer(config, node, now);
        }
        for (const auto &entry : object.at("endpoints")) {
            const auto text = entry.at("record").get<std::string>();
            if (const auto record = discovery::decodeEndpointRecord(text)) {
                const store::Position position {entry.contains("era") ? core::countOf(entry["era"]) : 0,
                                                core::countOf(entry.at("revision"))};
                this->directory.put(recordName(record->node), text, position, now);
            }
        }
        SnapshotSummary summary;
        summary.hasConfig = !config.empty();
        if (object.contains(keptForKey)) {
            constexpr std::uint64_t maxMs = 1'000'000'000'000; // about 30 years; much larger numbers would overflow the duration
            summary.keptFor = std::chrono::milliseconds(std::min(core::countOf(object[keptForKey]), maxMs));
        }
        return summary;
    } catch (const nlohmann::json::exception &error) {
        core::log(core::LogLevel::Warning, "snapshot.unreadable", {{"node", node}, {"reason", error.what()}});
        return {};
    }
}
} // namespace figpulley::mesh
