#include "explain/requesttrace.h"

#include "core/errorkind.h"

#include <algorithm>

#include <fmt/format.h>

namespace figpulley::explain
{
namespace
{
const LogLine *findLastEvent(const std::vector<LogLine> &lines, std::string_view event)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [event](const LogLine &line) { return line.field("event") == event; });
    return found == lines.rend() ? nullptr : &*found;
}

std::string describeKind(std::string_view kindName)
{
    const auto kind = core::errorKindFromName(kindName);
    return kind ? std::string(core::errorProperties(*kind).message) : fmt::format("kind {}", kindName);
}

std::string describeRan(std::string_view ran)
{
    if (ran == "no") {
        return "it has not run and may be sent again";
    }
    return ran == "yes" ? "it has run" : "it may have run: look up its result before it is sent again";
}

// Formats the fields that the node's decision depended on.
std::string formatInputs(const LogLine &line)
{
    std::string text;
    for (const auto *key : {"running", "waiting", "slots", "limit", "waited_ms", "ran_ms", "detail", "endpoint"}) {
        if (const auto value = line.field(key); !value.empty()) {
            text += fmt::format("{}{}={}", text.empty() ? "" : ", ", key, value);
        }
    }
    return text;
}

std::string describeCause(const std::vector<LogLine> &lines)
{
    const auto *refusedCall = findLastEvent(lines, "call.refused");
    const auto *failedAttempt = findLastEvent(lines, "attempt.failed");
    const auto *refusedAttempt = findLastEvent(lines, "attempt.refused");
    if (refusedCall == nullptr && failedAttempt == nullptr && refusedAttempt == nullptr) {
        return lines.empty()
            ? "no log line has this request id: the request succeeded, its lines were sampled out, or it never reached these nodes"
            : "no log line reports a failure: the response came from the endpoint itself";
    }
    const auto *decision = failedAttempt != nullptr ? failedAttempt : refusedAttempt;
    const auto *outcome = refusedCall != nullptr ? refusedCall : decision;
    auto text =
        fmt::format("{} ({}); {}", describeKind(outcome->field("kind")), outcome->field("kind"), describeRan(outcome->field("ran")));
    if (refusedCall != nullptr) {
        text += fmt::format("; the response was {} after {} ms and {} attempts", refusedCall->field("status"),
                            refusedCall->field("after_ms"), refusedCall->field("attempts"));
    }
    if (decision != nullptr) {
        text +=
            fmt::format("; the last decision was made at {}: {} ({})", decision->origin, decision->field("kind"), formatInputs(*decision));
    }
    return text;
}
} // namespace

RequestTrace traceRequest(const std::vector<LogLine> &lines, std::string_view requestId)
{
    RequestTrace trace;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(trace.lines),
                 [requestId](const LogLine &line) { return line.field("id") == requestId; });
    std::stable_sort(trace.lines.begin(), trace.lines.end(),
                     [](const LogLine &left, const LogLine &right) { return left.field("time") < right.field("time"); });
    trace.cause = describeCause(trace.lines);
    return trace;
}
} // namespace figpulley::explain
