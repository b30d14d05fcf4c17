#include "support/story.h"

#include "explain/explain.h"

using namespace figpulley;

namespace
{
std::vector<explain::LogLine> parseLines(const std::vector<std::pair<std::string, std::string>> &logs)
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

Test(explain, parses_a_log_line)
{
    tests::Story story;
    const auto line =
        explain::parseLogLine("vm-1", R"(  9.98 vm-1 time=T level=info event=attempt.failed id=a detail="the \"peer\" is gone" last=x)");
    story.check(line.has_value(), "a line with text in front of the first field to be parsed");
    story.equal(std::string(line->field("event")), std::string("attempt.failed"), "the event");
    story.equal(std::string(line->field("detail")), std::string("the \"peer\" is gone"), "a quoted value without its quotes and escapes");
    story.equal(std::string(line->field("last")), std::string("x"), "the field after a quoted value");
    story.check(!explain::parseLogLine("vm-1", "no event=").has_value(), "no log line for a text without an event");
    tests::holds("arbitrary text is parsed without a crash",
                 [](const std::string &text) { static_cast<void>(explain::parseLogLine("x", text)); });
}

Test(explain, names_the_cause_of_a_failed_request)
{
    tests::Story story;
    const auto lines = parseLines({
        {"vm-2", "time=3 level=info event=call.refused id=a kind=overloaded ran=no status=503 attempts=2 after_ms=10"},
        {"vm-1", "time=2 level=info event=attempt.refused id=a kind=overloaded ran=no running=294 waiting=305 slots=294"},
        {"vm-3", "time=5 level=info event=call.refused id=b kind=answer-lost ran=unknown status=502 attempts=1 after_ms=4"},
        {"vm-1", "time=4 level=warning event=attempt.failed id=b kind=answer-lost ran=unknown detail=\"the connection was reset\""},
        {"vm-4", "time=6 level=info event=attempt.refused id=c kind=not-serving ran=no endpoint=i-9"},
        {"vm-4", "time=7 level=info event=call.refused id=c kind=not-serving ran=no status=503 attempts=1 after_ms=7"},
    });
    const auto findCause = [&](const char *id) { return explain::traceRequest(lines, id).cause; };
    const auto causeContains = [&](const char *id, const char *part) { return findCause(id).find(part) != std::string::npos; };
    story.section("a call that was refused under overload", [&] {
        story.equal(explain::traceRequest(lines, "a").lines.front().origin, std::string("vm-1"), "lines sorted by time");
        story.check(causeContains("a", "no capacity") && causeContains("a", "waiting=305") && causeContains("a", "may be sent again"),
                    "the kind, the inputs of the decision, and that it may be sent again");
    });
    story.section("a call whose response was lost", [&] {
        story.check(causeContains("b", "may have run") && causeContains("b", "the connection was reset"),
                    "that it may have run, and the error of the connection");
    });
    story.section("a call that was refused by an endpoint that had left",
                  [&] { story.check(causeContains("c", "has left") && causeContains("c", "i-9"), "the kind and the endpoint"); });
    story.check(causeContains("z", "no log line has this request id"), "that no log line has the id of an unknown request");
}
