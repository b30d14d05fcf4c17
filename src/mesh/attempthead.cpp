#include "mesh/attempthead.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace figpulley::mesh
{
namespace
{
using nlohmann::json;

std::int64_t microseconds(core::Duration duration)
{
    return duration.count();
}

std::string dump(const json &object)
{
    return object.dump(-1, ' ', true, json::error_handler_t::replace);
}
} // namespace

std::string encode(const AttemptHead &head)
{
    return dump({
        {"endpoint", head.endpointId},
        {"service", head.service},
        {"origin", head.originService},
        {"node", head.originNode},
        {"priority", head.priority},
        {"idempotent", head.isIdempotent},
        {"nested", head.isNested},
        {"remaining_us", microseconds(head.remaining)},
        {"objective_us", microseconds(head.objectiveLeft)},
        {"version", head.configVersion},
    });
}

std::string encode(const AttemptReport &report)
{
    return dump({
        {"kind", core::answerFor(report.kind).name},
        {"ran", static_cast<int>(report.ran)},
        {"retry_us", microseconds(report.retryAfter)},
        {"load", {report.load.running, report.load.waiting, report.load.slots}},
        {"version", report.configVersion},
    });
}

std::optional<AttemptHead> decodeAttemptHead(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        AttemptHead head;
        head.endpointId = object.at("endpoint").get<std::string>();
        head.service = object.at("service").get<std::string>();
        head.originService = object.at("origin").get<std::string>();
        head.originNode = object.at("node").get<std::string>();
        head.priority = object.at("priority").get<int>();
        head.isIdempotent = object.at("idempotent").get<bool>();
        head.isNested = object.at("nested").get<bool>();
        head.remaining = core::Duration(object.at("remaining_us").get<std::int64_t>());
        head.objectiveLeft = core::Duration(object.at("objective_us").get<std::int64_t>());
        head.configVersion = object.at("version").get<std::uint64_t>();
        return head;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<AttemptReport> decodeAttemptReport(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        AttemptReport report;
        const auto kind = core::errorKindFromName(object.at("kind").get<std::string>());
        const auto ran = object.at("ran").get<int>();
        if (!kind || ran < 0 || ran > static_cast<int>(core::Ran::Yes)) {
            return std::nullopt;
        }
        report.kind = *kind;
        report.ran = static_cast<core::Ran>(ran);
        report.retryAfter = core::Duration(object.at("retry_us").get<std::int64_t>());
        const auto &load = object.at("load");
        report.load = {load.at(0).get<int>(), load.at(1).get<int>(), load.at(2).get<int>()};
        report.configVersion = object.at("version").get<std::uint64_t>();
        return report;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}
} // namespace figpulley::mesh
