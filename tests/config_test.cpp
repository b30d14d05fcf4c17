#include "support/boards.h"
#include "support/story.h"

#include <algorithm>

using namespace figpulley;

namespace
{
struct InvalidFile
{
    const char *title;
    std::string source;
    text::Position position;
    const char *messagePart;
};

std::string policyWith(const std::string &defaults)
{
    return "{\n\"kind\": \"overload-policy\", \"name\": \"x\",\n\"defaults\": {" + defaults + "}\n}";
}

std::string prioritiesWith(const std::string &route)
{
    return "{\"kind\": \"request-priorities\", \"name\": \"x\", \"levels\": [\"low\", \"high\"],\n\"routes\": [" + route + "]}";
}

const std::vector<InvalidFile> &invalidFiles()
{
    static const std::vector<InvalidFile> files {
        {"an unknown kind", "{\"kind\": \"overload-polcy\"}", {1, 10}, "unknown kind"},
        {"a missing kind", "{}", {1, 1}, "lacks \"kind\""},
        {"an unknown key", policyWith("\"queue_lenght\": 3"), {3, 14}, "did you mean \"queue_length\""},
        {"a value of the wrong type", policyWith("\"queue_ms\": \"3\""), {3, 26}, "must be of type integer"},
        {"a value out of range", policyWith("\"limit_initial\": 0"), {3, 31}, "must be 1 to 100000"},
        {"a fraction for an integer", policyWith("\"limit_initial\": 1.5"), {3, 31}, "must be of type integer"},
        {"an unknown limit algorithm", policyWith("\"limit\": \"magic\""), {3, 23}, "unknown limit"},
        {"a minimum above the maximum", policyWith("\"limit_minimum\": 9, \"limit_maximum\": 3"), {3, 31}, "exceeds"},
        {"a missing required key",
         prioritiesWith("{\"name\": \"a\", \"service\": \"s\", \"level\": \"low\"}"),
         {2, 12},
         "lacks the key \"idempotent\""},
        {"an unknown level",
         prioritiesWith("{\"name\": \"a\", \"service\": \"s\", \"level\": \"lo\", \"idempotent\": true}"),
         {2, 51},
         "did you mean \"low\""},
        {"a path prefix without a slash",
         prioritiesWith("{\"name\": \"a\", \"service\": \"s\", \"level\": \"low\", \"idempotent\": true, \"path_prefix\": \"x\"}"),
         {2, 93},
         "must start with '/'"},
        {"a syntax error", "{\"kind\": }", {1, 10}, "expected a value"},
    };
    return files;
}
} // namespace

Test(config, load)
{
    tests::Story story;
    story.section("an invalid file is rejected with position and reason", [&] {
        for (const auto &invalid : invalidFiles()) {
            story.section(invalid.title, [&] {
                text::Problems problems;
                story.check(config::load({{"invalid.json", invalid.source}}, problems) == nullptr, "no configuration");
                const bool isReported = std::any_of(problems.begin(), problems.end(), [&](const text::Problem &problem) {
                    return problem.position == invalid.position && problem.message.find(invalid.messagePart) != std::string::npos;
                });
                story.check(isReported,
                            std::string(invalid.messagePart) + " in the message of a problem at the position of the defect, got "
                                + (problems.empty() ? "nothing" : text::describe(problems.front())));
            });
        }
    });
    story.section("an error in one file rejects the whole set", [&] {
        text::Problems problems;
        const auto configuration = config::load({{"good.json", tests::testPolicy}, {"bad.json", "{"}}, problems);
        story.check(configuration == nullptr, "no configuration");
    });
    story.section("a service without a key has the value of the defaults", [&] {
        const auto configuration = tests::compileConfiguration({{"p.json", R"({"kind": "overload-policy", "name": "x",
            "defaults": {"queue_ms": 77}, "services": {"bordure": {"limit": "aimd"}}})"}});
        const auto &policy = configuration->overload.forService("bordure");
        story.equal(policy.queueDelay, core::Duration(std::chrono::milliseconds(77)), "the queue time of the defaults");
        story.equal(policy.limitAlgorithm, config::LimitAlgorithm::Aimd, "the limit algorithm of the service");
    });
    story.section("a call has the route with the longest matching prefix", [&] {
        const auto configuration =
            tests::compileConfiguration({{"r.json", R"({"kind": "request-priorities", "name": "x", "levels": ["low", "high"], "routes": [
            {"name": "all", "service": "s", "level": "low", "idempotent": true},
            {"name": "deep", "service": "s", "path_prefix": "/a/b", "level": "high", "idempotent": true}]})"}});
        story.equal(configuration->priorities.match("s", "GET", "/a/b/c")->name, std::string("deep"), "the route with the longer prefix");
        story.equal(configuration->priorities.match("s", "GET", "/a")->name, std::string("all"), "the route with the shorter prefix");
        story.check(configuration->priorities.match("s", "POST", "/a") == nullptr, "no route for another method");
    });
}
