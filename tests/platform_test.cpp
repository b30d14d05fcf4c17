#include "support/story.h"

#include "platform/platform.h"

#include <chrono>

using namespace figpulley;
using namespace std::chrono_literals;

namespace
{
constexpr const char *goodHeartbeat = R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"hrc-one","Version":"v1","Slots":294,)"
                                      R"("State":"ready","ColdRemainingS":1.5,"Seq":4,"born":1776862573000})";

constexpr const char *configuration = R"({"Version":7,"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConnections":1864}],)"
                                      R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},)"
                                      R"("VirtualHosts":[{"Host":"hulo84.example","Paths":[{"Name":"r-1","PathPrefix":"/leny950/",)"
                                      R"("Kind":"safe","TimeoutS":6,"TargetLatencyS":1.5,"Priority":2,"TrafficSplit":[)"
                                      R"({"Service":"huvo11a","Weight":90},{"Service":"lovo22d","Weight":10}],"MaxAttempts":2},)"
                                      R"({"Name":"r-2","PathPrefix":"/x/","Kind":"new-kind","TimeoutS":0.7,"Service":"wuno96b"}]}]})";

net::HttpRequest post(std::string path, std::string body)
{
    net::HttpRequest request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}
} // namespace

Test(platform, heartbeats_are_decoded_once)
{
    tests::Story story;
    const platform::PlatformWire wire;
    story.section("a heartbeat", [&] {
        const auto call = wire.readControl(post("/v1/Instances.Heartbeat/i-7f3a91c2", goodHeartbeat));
        const auto *heartbeat = std::get_if<discovery::Announcement>(&call);
        story.check(heartbeat != nullptr, "is understood");
        story.equal(heartbeat->id, std::string("i-7f3a91c2"), "names its endpoint in the path");
        story.equal(heartbeat->slots, 294, "tells its slots");
        story.equal(heartbeat->sequence, 4, "is numbered");
        story.equal(heartbeat->incarnation, 1776862573000, "tells its start");
        story.check(heartbeat->coldFor == 1500ms, "and how long it is slow");
    });
    story.section("a departure", [&] {
        const auto call = wire.readControl(post("/v1/Instances.Deregister/i-1", R"({"born":5})"));
        story.equal(std::get<discovery::Departure>(call).incarnation, 5, "names the incarnation");
        story.check(std::holds_alternative<discovery::Departure>(wire.readControl(post("/v1/Instances.Deregister/i-1", ""))),
                    "and may come without a body");
    });
    story.section("what others write", [&] {
        for (const auto *body : {"", "[]", "{}", R"({"Service":1})", R"({"Service":"a","Address":"b","Slots":"x","State":"ready","Seq":1})",
                                 R"({"Service":"a","Address":"b","Slots":1,"State":"sleepy","Seq":1})",
                                 R"({"Service":"a","Address":"b","Slots":1,"State":"ready","Seq":1,"born":"x"})"}) {
            const auto call = wire.readControl(post("/v1/Instances.Heartbeat/i-1", body));
            story.check(std::holds_alternative<mesh::MalformedCall>(call), "names no endpoint");
        }
    });
    tests::holds("cut and changed heartbeats never throw", [&] {
        std::string body = goodHeartbeat;
        body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::inRange(' ', '~');
        body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
        static_cast<void>(wire.readControl(post("/v1/Instances.Heartbeat/i-1", body)));
    });
}

Test(platform, the_configuration_becomes_routes)
{
    tests::Story story;
    const platform::PlatformWire wire;
    std::string reason;
    const auto set = wire.readRoutes(configuration, reason);
    story.check(set.has_value(), "it is understood");
    story.equal(set->version, 7U, "with its version");
    story.equal(set->routes.size(), 2U, "and all routes");
    story.equal(set->routes[0].split.size(), 2U, "a split has its parts");
    story.check(set->routes[0].timeout == 6s && set->routes[0].objective == 1500ms, "times are in seconds");
    story.equal(set->routes[1].kind, routing::RequestKind::Unsafe, "a kind that is not known runs once at most");
    story.check(set->routes[1].timeout == 700ms, "fractions count");
    story.check(set->limits.idleTimeout == 15s, "limits are read");
    tests::holds("a cut configuration is refused with a reason", [&] {
        const std::string text = configuration;
        std::string why;
        RC_ASSERT(!wire.readRoutes(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())), why));
        RC_ASSERT(!why.empty());
    });
}

Test(platform, headers_of_requests_and_answers)
{
    tests::Story story;
    const platform::PlatformWire wire;
    const auto client = wire.readClient({{"x-request-id", "9c41"}, {"X-DEADLINE-MS", "6000"}});
    story.equal(client.requestId, std::string("9c41"), "the id of a client's attempt");
    story.check(client.patience == std::optional<core::Duration>(6s), "how long it waits");
    story.check(!wire.readClient({{"X-Deadline-Ms", "soon"}}).patience, "a deadline that is no number is none");
    net::Headers headers;
    wire.addUpstream(headers, {1500ms, "i-1", "motivi"});
    story.equal(std::string(net::findHeader(headers, "X-Deadline-Ms")), std::string("1500"), "what is left goes on");
    story.equal(std::string(net::findHeader(headers, "X-Caller-Service")), std::string("motivi"), "with the service where it began");
    net::ClientAnswerHead head;
    head.status = 421;
    story.check(wire.readReply(head).isNotRun, "a misdirected request has not run");
    head.status = 503;
    story.check(!wire.readReply(head).isNotRun, "a 503 alone says nothing");
    head.headers = {{"X-Not-Run", "1"}};
    story.check(wire.readReply(head).isNotRun, "its header does");
}
