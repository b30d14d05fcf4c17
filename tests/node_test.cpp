#include "support/httpcall.h"
#include "support/story.h"
#include "support/twonodemesh.h"

#include <thread>

using namespace figpulley;

namespace
{
std::string header(const net::ClientResponse &response, std::string_view name)
{
    return std::string(net::findHeader(response.head.headers, name));
}
} // namespace

Test(node, forwards_calls_between_two_nodes)
{
    tests::Story story;
    tests::TwoNodeMesh mesh;
    tests::HttpCaller caller;
    story.section("a lookup sent to the entrance of another service's node", [&] {
        const auto response = caller.get(mesh.entrance("commesse"), "/", "motivi");
        story.equal(response.head.status, 200, "status 200");
        story.equal(response.body, std::string("work=1;"), "the body of the upstream's response");
        story.equal(header(response, "Figpulley-Ran"), std::string("yes"), "a header that reports that the call ran");
    });
    story.section("a response of 3 MB", [&] {
        const auto response = caller.get(mesh.entrance("commesse"), "/large", "motivi");
        story.equal(response.body.size(), 3000000U, "the complete streamed body");
    });
    story.section("a call to a service without a route", [&] {
        const auto response = caller.get(mesh.entrance("commesse"), "/", "nessuno");
        story.equal(response.head.status, 404, "status 404");
        story.equal(header(response, "Figpulley-Kind"), std::string("no-route"), "the error kind no-route");
        story.equal(header(response, "Figpulley-Ran"), std::string("no"), "a header that reports that the call did not run");
    });
    story.section("a request with headers that only nodes may set", [&] {
        net::ClientRequest request;
        request.url = "http://" + mesh.ingress("motivi").toString() + "/";
        request.headers = {{"Host", "motivi"}, {"Figpulley-Call", "{}"}, {"Figpulley-Proof", "test:00"}};
        story.equal(caller.call(request).head.status, 403, "status 403 without a valid signature");
    });
    story.section("metrics and status", [&] {
        const auto metrics = caller.get(mesh.control("commesse"), "/metrics", "x").body;
        story.check(metrics.find("figpulley_calls_total") != std::string::npos, "the counter of calls in the metrics");
        story.check(metrics.find("nessuno") == std::string::npos, "no label from a service name that only a client has sent");
        const auto status = caller.get(mesh.control("commesse"), "/status", "x").body;
        story.check(status.find("\"revision\": 1") != std::string::npos, "the configuration revision in the status");
    });
}

Test(node, planned_stop_finishes_calls_in_flight)
{
    tests::Story story;
    tests::TwoNodeMesh mesh;
    std::promise<std::size_t> stopped;
    net::ClientResponse slow;
    std::thread client([&] {
        tests::HttpCaller caller;
        slow = caller.get(mesh.entrance("commesse"), "/slow", "motivi");
    });
    mesh.waitForRunning("motivi", 1);
    mesh.stop("motivi", stopped);
    story.section("a call that arrives during the stop", [&] {
        tests::HttpCaller caller;
        const auto response = caller.get(mesh.entrance("commesse"), "/", "motivi");
        story.equal(response.head.status, 503, "status 503");
        story.equal(header(response, "Figpulley-Ran"), std::string("no"), "a header that reports that the call did not run");
    });
    story.equal(stopped.get_future().get(), 0U, "no call to be cut off");
    client.join();
    story.equal(slow.head.status, 200, "status 200 for the call that was in flight");
}
