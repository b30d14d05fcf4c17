#include "node/statusreport.h"

#include <nlohmann/json.hpp>

namespace figpulley::node
{
namespace
{
using nlohmann::json;

json zoneReport(const board::MembershipState &state, core::TimePoint now)
{
    auto zones = json::object();
    for (const auto &[zone, view] : state.zones) {
        const bool isOwn = zone == state.self.availabilityZone;
        json report {{"members", view.count + (isOwn ? 1U : 0U)}};
        const auto timeSinceContact = now - view.lastMessageAt;
        const bool isUnknown = !isOwn && timeSinceContact >= zoneUnknownAfter;
        report["state"] = isUnknown ? "unknown" : "heard";
        if (isUnknown) {
            report["unknown_for_seconds"] = static_cast<std::int64_t>(core::toSeconds(timeSinceContact));
        }
        zones[zone] = std::move(report);
    }
    return zones;
}

json serviceReport(const board::Blackboard &board)
{
    auto services = json::object();
    for (const auto &[service, endpoints] : board.endpoints.read().byService) {
        int leaving = 0;
        int suspect = 0;
        for (const auto &endpoint : endpoints) {
            leaving += endpoint.isLeaving ? 1 : 0;
            suspect += endpoint.isSuspect ? 1 : 0;
        }
        services[service] = {{"endpoints", endpoints.size()}, {"leaving", leaving}, {"suspect", suspect}};
    }
    return services;
}
} // namespace

std::string statusReport(const board::Blackboard &board, const StatusInputs &inputs, core::TimePoint now)
{
    const auto &admission = board.admission.read();
    const auto &state = board.membership.read();
    const json report {
        {"node", board.identity.controlAddress},
        {"service", board.identity.service},
        {"availability_zone", board.identity.availabilityZone},
        {"incarnation", core::value(board.identity.incarnation)},
        {"revision", inputs.manifest->revision},
        {"applied_by", inputs.manifest->appliedBy},
        {"applied_at", inputs.manifest->appliedAt},
        {"config_problem", inputs.configProblem},
        {"platform", inputs.isPlatformReachable ? "reachable" : "not heard from here"},
        {"platform_older_revision", inputs.olderRootRevision},
        {"isolated", state.isIsolated},
        {"leaving", board.drain.read().isLeaving()},
        {"limit", admission.limit.limit},
        {"running", admission.running},
        {"queued", admission.queue.size()},
        {"threshold", admission.threshold.value()},
        {"started", admission.totalStarted},
        {"refused", admission.totalRefused},
        {"control_bytes_sent", inputs.bytesSent},
        {"datagrams_sent", inputs.datagramsSent},
        {"zones", zoneReport(state, now)},
        {"services", serviceReport(board)},
    };
    return report.dump(1) + "\n";
}
} // namespace figpulley::node
