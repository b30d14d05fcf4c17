#include "support/httpcall.h"
#include "support/story.h"
#include "support/twonodemesh.h"

#include <thread>

using namespace figpulley;

namespace
{
std::string header(const net::ClientAnswer &answer, std::string_view name)
{
    return std::string(net::findHeader(answer.head.headers, name));
}
} // namespace

Test(node, a_call_through_two_nodes)
{
    tests::Story story;
    tests::TwoNodeMesh mesh;
    tests::HttpCaller caller;
    story.section("a lookup at the entrance of another service's node", [&] {
        const auto answer = caller.get(mesh.entrance("commesse"), "/", "motivi");
        story.equal(answer.head.status, 200, "it is answered");
        story.equal(answer.body, std::string("work=1;"), "with the upstream's answer");
        story.equal(header(answer, "Figpulley-Ran"), std::string("yes"), "which says that it ran");
    });
    story.section("a large answer", [&] {
        const auto answer = caller.get(mesh.entrance("commesse"), "/large", "motivi");
        story.equal(answer.body.size(), 3000000U, "arrives whole, in a stream");
    });
    story.section("a call without a route", [&] {
        const auto answer = caller.get(mesh.entrance("commesse"), "/", "nessuno");
        story.equal(answer.head.status, 404, "is refused");
        story.equal(header(answer, "Figpulley-Kind"), std::string("no-route"), "with its kind");
        story.equal(header(answer, "Figpulley-Ran"), std::string("no"), "as not run");
    });
    story.section("headers that only nodes may set", [&] {
        net::ClientRequest request;
        request.url = "http://" + mesh.ingress("motivi").toString() + "/";
        request.headers = {{"Host", "motivi"}, {"Figpulley-Call", "{}"}, {"Figpulley-Proof", "test:00"}};
        story.equal(caller.call(request).head.status, 403, "are not believed without a proof");
    });
    story.section("metrics and status", [&] {
        const auto metrics = caller.get(mesh.control("commesse"), "/metrics", "x").body;
        story.check(metrics.find("figpulley_calls_total") != std::string::npos, "calls are counted");
        story.check(metrics.find("nessuno") == std::string::npos, "names that clients make up do not become labels");
        const auto status = caller.get(mesh.control("commesse"), "/status", "x").body;
        story.check(status.find("\"revision\": 1") != std::string::npos, "the revision is reported");
    });
}

Test(node, a_planned_stop_cuts_nothing)
{
    tests::Story story;
    tests::TwoNodeMesh mesh;
    std::promise<std::size_t> stopped;
    net::ClientAnswer slow;
    std::thread client([&] {
        tests::HttpCaller caller;
        slow = caller.get(mesh.entrance("commesse"), "/slow", "motivi");
    });
    mesh.waitForRunning("motivi", 1);
    mesh.stop("motivi", stopped);
    story.section("a call that comes meanwhile", [&] {
        tests::HttpCaller caller;
        const auto answer = caller.get(mesh.entrance("commesse"), "/", "motivi");
        story.equal(answer.head.status, 503, "is refused");
        story.equal(header(answer, "Figpulley-Ran"), std::string("no"), "as not run");
    });
    story.equal(stopped.get_future().get(), 0U, "no call was cut");
    client.join();
    story.equal(slow.head.status, 200, "the call in flight was answered");
}
