#include "support/boards.h"
#include "support/story.h"

#include <algorithm>

using namespace figpulley;

namespace
{
struct BrokenFile
{
    const char *what;
    std::string policy;
    text::Position position;
    const char *reason;
};

std::string policyWith(const std::string &defaults)
{
    return "{\n\"kind\": \"overload-policy\", \"name\": \"x\",\n\"defaults\": {" + defaults + "}\n}";
}

std::string prioritiesWith(const std::string &route)
{
    return "{\"kind\": \"request-priorities\", \"name\": \"x\", \"levels\": [\"low\", \"high\"],\n\"routes\": [" + route + "]}";
}

const std::vector<BrokenFile> &brokenFiles()
{
    static const std::vector<BrokenFile> files {
        {"unknown kind", "{\"kind\": \"overload-polcy\"}", {1, 10}, "unknown kind"},
        {"no kind", "{}", {1, 1}, "lacks \"kind\""},
        {"unknown key", policyWith("\"queue_lenght\": 3"), {3, 14}, "did you mean \"queue_length\""},
        {"wrong type", policyWith("\"queue_ms\": \"3\""), {3, 26}, "must be of type integer"},
        {"out of range", policyWith("\"limit_initial\": 0"), {3, 31}, "must be 1 to 100000"},
        {"fraction", policyWith("\"limit_initial\": 1.5"), {3, 31}, "must be of type integer"},
        {"unknown limit", policyWith("\"limit\": \"magic\""), {3, 23}, "unknown limit"},
        {"bounds crossed", policyWith("\"limit_minimum\": 9, \"limit_maximum\": 3"), {3, 31}, "exceeds"},
        {"missing key",
         prioritiesWith("{\"name\": \"a\", \"service\": \"s\", \"level\": \"low\"}"),
         {2, 12},
         "lacks the key \"idempotent\""},
        {"unknown level",
         prioritiesWith("{\"name\": \"a\", \"service\": \"s\", \"level\": \"lo\", \"idempotent\": true}"),
         {2, 51},
         "did you mean \"low\""},
        {"bad prefix",
         prioritiesWith("{\"name\": \"a\", \"service\": \"s\", \"level\": \"low\", \"idempotent\": true, \"path_prefix\": \"x\"}"),
         {2, 93},
         "must start with '/'"},
        {"not JSON", "{\"kind\": }", {1, 10}, "expected a value"},
    };
    return files;
}
} // namespace

Test(config, load)
{
    tests::Story story;
    story.section("broken files are refused with position and reason", [&] {
        for (const auto &broken : brokenFiles()) {
            story.section(broken.what, [&] {
                text::Problems problems;
                story.check(config::load({{"broken.json", broken.policy}}, problems) == nullptr, "a refusal");
                const bool isNamed = std::any_of(problems.begin(), problems.end(), [&](const text::Problem &problem) {
                    return problem.position == broken.position && problem.message.find(broken.reason) != std::string::npos;
                });
                story.check(isNamed,
                            std::string(broken.reason) + " at its place, got "
                                + (problems.empty() ? "nothing" : text::describe(problems.front())));
            });
        }
    });
    story.section("one bad file refuses the whole set", [&] {
        text::Problems problems;
        const auto configuration = config::load({{"good.json", tests::testPolicy}, {"bad.json", "{"}}, problems);
        story.check(configuration == nullptr, "nothing is compiled");
    });
    story.section("a service takes what it leaves out from the defaults", [&] {
        const auto configuration = tests::compileConfiguration({{"p.json", R"({"kind": "overload-policy", "name": "x",
            "defaults": {"queue_ms": 77}, "services": {"bordure": {"limit": "aimd"}}})"}});
        const auto &policy = configuration->overload.forService("bordure");
        story.equal(policy.queueDelay, core::Duration(std::chrono::milliseconds(77)), "the default's queue time");
        story.equal(policy.limitAlgorithm, config::LimitAlgorithm::Aimd, "its own limit");
    });
    story.section("the longest prefix decides about a call", [&] {
        const auto configuration =
            tests::compileConfiguration({{"r.json", R"({"kind": "request-priorities", "name": "x", "levels": ["low", "high"], "routes": [
            {"name": "all", "service": "s", "level": "low", "idempotent": true},
            {"name": "deep", "service": "s", "path_prefix": "/a/b", "level": "high", "idempotent": true}]})"}});
        story.equal(configuration->priorities.match("s", "GET", "/a/b/c")->name, std::string("deep"), "the deeper route");
        story.equal(configuration->priorities.match("s", "GET", "/a")->name, std::string("all"), "the general route");
        story.check(configuration->priorities.match("s", "POST", "/a") == nullptr, "no route for another method");
    });
}
