#include "support/story.h"

#include "explain/explain.h"

using namespace figpulley;

namespace
{
std::vector<explain::LogLine> linesOf(const std::vector<std::pair<std::string, std::string>> &logs)
{
    std::vector<explain::LogLine> lines;
    for (const auto &[origin, text] : logs) {
        if (auto line = explain::parseLogLine(origin, text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}
} // namespace

Test(explain, a_line_is_read)
{
    tests::Story story;
    const auto line =
        explain::parseLogLine("vm-1", R"(  9.98 vm-1 time=T level=info event=attempt.failed id=a detail="the \"peer\" is gone" last=x)");
    story.check(line.has_value(), "what stands before the first field is passed over");
    story.equal(std::string(line->field("event")), std::string("attempt.failed"), "the event is found");
    story.equal(std::string(line->field("detail")), std::string("the \"peer\" is gone"), "quotes are taken off");
    story.equal(std::string(line->field("last")), std::string("x"), "and what follows is found");
    story.check(!explain::parseLogLine("vm-1", "no event=").has_value(), "a line without an event is none");
    tests::holds("any text is read or passed over", [](const std::string &text) { static_cast<void>(explain::parseLogLine("x", text)); });
}

Test(explain, three_failed_requests)
{
    tests::Story story;
    const auto lines = linesOf({
        {"vm-2", "time=3 level=info event=call.refused id=a kind=overloaded ran=no status=503 attempts=2 after_ms=10"},
        {"vm-1", "time=2 level=info event=attempt.refused id=a kind=overloaded ran=no running=294 waiting=305 slots=294"},
        {"vm-3", "time=5 level=info event=call.refused id=b kind=answer-lost ran=unknown status=502 attempts=1 after_ms=4"},
        {"vm-1", "time=4 level=warning event=attempt.failed id=b kind=answer-lost ran=unknown detail=\"the connection was reset\""},
        {"vm-4", "time=6 level=info event=attempt.refused id=c kind=not-serving ran=no endpoint=i-9"},
        {"vm-4", "time=7 level=info event=call.refused id=c kind=not-serving ran=no status=503 attempts=1 after_ms=7"},
    });
    const auto causeOf = [&](const char *id) { return explain::explain(lines, id).cause; };
    const auto tells = [&](const char *id, const char *part) { return causeOf(id).find(part) != std::string::npos; };
    story.section("refused under overload", [&] {
        story.equal(explain::explain(lines, "a").lines.front().origin, std::string("vm-1"), "its lines stand in the order of time");
        story.check(tells("a", "no capacity") && tells("a", "waiting=305") && tells("a", "may be sent again"), "cause, inputs and outcome");
    });
    story.section("an answer that was lost", [&] {
        story.check(tells("b", "may have run") && tells("b", "the connection was reset"), "tells that it must be looked up, and why");
    });
    story.section("refused while an endpoint left",
                  [&] { story.check(tells("c", "has left") && tells("c", "i-9"), "names the endpoint"); });
    story.check(tells("z", "no line names this request"), "a request that no log names is said to be unknown");
}
