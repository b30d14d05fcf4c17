#include "explain/requeststory.h"

#include "core/errorkind.h"

#include <algorithm>

#include <fmt/format.h>

namespace figpulley::explain
{
namespace
{
const LogLine *lastOf(const std::vector<LogLine> &lines, std::string_view event)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [event](const LogLine &line) { return line.field("event") == event; });
    return found == lines.rend() ? nullptr : &*found;
}

std::string wordingOf(std::string_view kindName)
{
    const auto kind = core::errorKindFromName(kindName);
    return kind ? std::string(core::errorProperties(*kind).message) : fmt::format("kind {}", kindName);
}

std::string sentenceAboutRun(std::string_view ran)
{
    if (ran == "no") {
        return "it has not run and may be sent again";
    }
    return ran == "yes" ? "it has run" : "it may have run: look it up before it is sent again";
}

std::string inputsOf(const LogLine &line)
{
    std::string text;
    for (const auto *key : {"running", "waiting", "slots", "waited_ms", "ran_ms", "detail", "endpoint"}) {
        if (const auto value = line.field(key); !value.empty()) {
            text += fmt::format("{}{}={}", text.empty() ? "" : ", ", key, value);
        }
    }
    return text;
}

std::string causeOf(const std::vector<LogLine> &lines)
{
    const auto *answer = lastOf(lines, "call.refused");
    const auto *failure = lastOf(lines, "attempt.failed");
    const auto *refusal = lastOf(lines, "attempt.refused");
    if (answer == nullptr && failure == nullptr && refusal == nullptr) {
        return lines.empty() ? "no line names this request: it was served, sampled out, or never reached these nodes"
                             : "no line tells of a failure: the answer was the endpoint's own";
    }
    const auto *decided = failure != nullptr ? failure : refusal;
    const auto *outcome = answer != nullptr ? answer : decided;
    auto text =
        fmt::format("{} ({}); {}", wordingOf(outcome->field("kind")), outcome->field("kind"), sentenceAboutRun(outcome->field("ran")));
    if (answer != nullptr) {
        text += fmt::format("; answered {} after {} ms and {} attempts", answer->field("status"), answer->field("after_ms"),
                            answer->field("attempts"));
    }
    if (decided != nullptr) {
        text += fmt::format("; last decided at {}: {} ({})", decided->origin, decided->field("kind"), inputsOf(*decided));
    }
    return text;
}
} // namespace

RequestStory explain(const std::vector<LogLine> &lines, std::string_view requestId)
{
    RequestStory story;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(story.lines),
                 [requestId](const LogLine &line) { return line.field("id") == requestId; });
    std::stable_sort(story.lines.begin(), story.lines.end(),
                     [](const LogLine &left, const LogLine &right) { return left.field("time") < right.field("time"); });
    story.cause = causeOf(story.lines);
    return story;
}
} // namespace figpulley::explain
