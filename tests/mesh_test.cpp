#include "support/meshtestbed.h"
#include "support/rawserver.h"
#include "support/story.h"

#include "mesh/attempthead.h"

#include <fstream>
#include <sstream>

using namespace figpulley;

namespace
{
std::string header(const net::ClientAnswer &answer, std::string_view name)
{
    return std::string(net::findHeader(answer.head.headers, name));
}
} // namespace

Test(mesh, a_request_through_two_nodes)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.add("m1", "motivi");
    bed.add("c1", "commesse");
    story.section("before a configuration is known", [&] {
        story.equal(bed.readiness("c1"), 503, "the node takes no clients");
        const auto answer = bed.request("c1", "/look/1");
        story.equal(answer.head.status, 503, "and refuses, since the route may exist");
        story.equal(header(answer, "Figpulley-Ran"), std::string("no"), "as not run");
    });
    bed.publish();
    story.equal(bed.heartbeat("m1", 1), 200, "the endpoint's heartbeat is acknowledged");
    bed.waitForReadyEndpoints("c1", 1);
    story.equal(bed.readiness("c1"), 200, "the node takes clients");
    story.section("a lookup", [&] {
        const auto answer = bed.request("c1", "/look/1");
        story.equal(answer.head.status, 200, "is answered");
        story.equal(answer.body, std::string("expect=i-m1 caller=commesse host=a.example"), "by the endpoint that was meant");
        story.equal(header(answer, "X-Server-Stamp"), std::string("stamp"), "with its mark");
        story.equal(header(answer, "Figpulley-Outcome"), std::string(), "and without what nodes tell each other");
    });
    story.section("a path without a route", [&] { story.equal(bed.request("c1", "/else/").head.status, 404, "is refused"); });
    story.section("an attempt for another endpoint", [&] {
        const auto answer = bed.request("m1", "/look/1");
        story.equal(answer.head.status, 200, "the node beside the endpoint serves its own clients too");
    });
}

Test(mesh, a_departure_binds_after_a_restart)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.add("m1", "motivi");
    bed.add("m2", "motivi");
    bed.add("c1", "commesse");
    bed.heartbeat("m1", 1);
    bed.heartbeat("m2", 1);
    bed.waitForReadyEndpoints("c1", 2);
    story.equal(bed.heartbeat("m1", 2, "draining"), 200, "the departure is acknowledged");
    story.equal(bed.onLoop([&] { return bed.store->writes; }), 3, "after it was recorded");
    const auto before = bed.requestsAt("m1");
    story.section("others learn of it", [&] {
        for (int at = 0; at < 10; ++at) {
            story.equal(bed.request("c1", "/order/1", "POST").head.status, 200, "requests go elsewhere");
        }
        story.equal(bed.requestsAt("m1"), before, "and none to the one that leaves");
    });
    story.section("its node is killed and comes back", [&] {
        bed.kill("m1");
        bed.start("m1");
        story.equal(bed.heartbeat("m1", 1), 200, "a late heartbeat from before the departure arrives");
        story.equal(bed.heartbeat("m1", 3), 200, "or one of the same incarnation");
        for (int at = 0; at < 10; ++at) {
            story.equal(bed.request("c1", "/look/1").head.status, 200, "requests are served");
        }
        story.equal(bed.requestsAt("m1"), before, "but not by the one that leaves");
    });
    story.section("the next incarnation", [&] {
        story.equal(bed.heartbeat("m1", 1, "ready", 200), 200, "announces itself");
        bed.waitForReadyEndpoints("c1", 2);
        story.equal(bed.deregister("m2"), 200, "the other one leaves");
        bed.waitForReadyEndpoints("c1", 1);
        story.equal(bed.request("c1", "/look/1").head.status, 200, "and requests reach the new one");
        story.check(bed.requestsAt("m1") > before, "at its old address");
    });
}

Test(mesh, an_order_runs_once_at_most)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    std::string idOfAnother = "X-Request-Id: id-of-another";
    tests::RawServer raw([&](int number, const std::string &) {
        if (number == 1) {
            return std::string(); // the connection ends after the request was read
        }
        return "HTTP/1.1 200 OK\r\n" + idOfAnother + "\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nother";
    });
    bed.add("m1", "motivi");
    bed.add("c1", "commesse");
    bed.kill("m1");
    bed.useEndpoint("m1", raw.address());
    bed.start("m1");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    story.section("the endpoint's connection ends without an answer", [&] {
        const auto answer = bed.request("c1", "/order/1", "POST");
        story.equal(answer.head.status, 502, "nothing is promised");
        story.equal(header(answer, "Figpulley-Ran"), std::string("unknown"), "since it may have run");
        story.equal(raw.requests.load(), 1, "and it was sent once");
    });
    story.section("an answer to another request comes in its place", [&] {
        const auto answer = bed.request("c1", "/order/2", "POST");
        story.equal(answer.head.status, 502, "it is not delivered");
        story.check(answer.body.find("other") == std::string::npos, "nor is its body");
        story.equal(raw.requests.load(), 2, "and the order was sent once");
    });
}

Test(mesh, a_refusal_is_true)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    std::vector<std::shared_ptr<net::HttpExchange>> held;
    bed.add("m1", "motivi", [&](const std::shared_ptr<net::HttpExchange> &exchange) {
        const auto &request = exchange->request();
        if (request.path == "/order/failed") {
            exchange->answer({503, {{"X-Request-Id", std::string(net::findHeader(request.headers, "X-Request-Id"))}}, "after running"});
        } else if (request.path == "/order/refused") {
            exchange->answer({503, {{"X-Not-Run", "1"}}, ""});
        } else if (request.path == "/brief/") {
            held.push_back(exchange);
        } else {
            tests::MeshTestbed::respondOk(exchange);
        }
    });
    bed.add("c1", "commesse");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    story.equal(bed.request("c1", "/order/failed", "POST").head.status, 502, "a 503 of an endpoint that ran is no promise");
    const auto refused = bed.request("c1", "/order/refused", "POST");
    story.equal(refused.head.status, 503, "one that states that it did not run is");
    story.check(!header(refused, "Retry-After").empty(), "and tells when to come back");
    const auto late = bed.request("c1", "/brief/", "POST");
    story.equal(late.head.status, 504, "at the route's timeout an order that runs is answered as unknown");
    bed.onLoop([&] {
        held.clear();
        return true;
    });
}

Test(mesh, the_store_is_away)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.add("m1", "motivi");
    bed.add("c1", "commesse");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    story.section("a write whose answer is lost", [&] {
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::AnswerLost; });
        story.equal(bed.heartbeat("m1", 2, "draining"), 200, "does not keep a departure from being acknowledged");
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::None; });
        bed.waitForReadyEndpoints("c1", 0);
    });
    story.section("a node that starts while the store refuses it", [&] {
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::Busy; });
        bed.kill("m1");
        bed.start("m1");
        bed.heartbeat("m1", 1, "ready", 200);
        bed.heartbeat("m1", 2, "ready", 200);
        story.equal(bed.request("m1", "/look/1").head.status, 503, "knows no configuration and says so");
    });
    story.section("the store answers again", [&] {
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::None; });
        bed.waitForReadyEndpoints("c1", 1);
        story.equal(bed.request("c1", "/look/1").head.status, 200, "and the endpoint is back");
    });
    story.section("the store has discarded its history", [&] {
        bed.onLoop([&] {
            bed.store->discardHistory();
            bed.store->pageSize = 1;
            return true;
        });
        bed.add("m2", "motivi");
        bed.heartbeat("m2", 1);
        bed.waitForReadyEndpoints("c1", 2);
        story.equal(bed.request("c1", "/look/1").head.status, 200, "so everything is listed again, page by page");
    });
}

Test(mesh, limits_of_the_configuration_hold_for_clients)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.add("m1", "motivi");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("m1", 1);
    story.equal(bed.request("m1", "/look/1").head.status, 200, "a request within them is served");
    std::string smaller = tests::MeshTestbed::routes;
    const auto change = [&](const std::string &from, const std::string &to) { smaller.replace(smaller.find(from), from.size(), to); };
    change("\"Version\":1", "\"Version\":2");
    change("\"MaxHeaderBytes\":16384", "\"MaxHeaderBytes\":300");
    change("\"MaxBodyBytes\":1000000", "\"MaxBodyBytes\":3");
    bed.publish(smaller);
    bed.waitForVersion("m1", 2);
    story.equal(bed.request("m1", "/order/1", "POST").head.status, 413, "a larger body is refused once a change is in force");
    story.equal(bed.request("m1", "/look/" + std::string(400, 'x')).head.status, 431, "a longer head as well");
}

Test(mesh, one_node_of_a_zone_watches_the_store)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    const std::vector<std::string> names {"m1", "m2", "m3", "m4", "m5"};
    for (const auto &name : names) {
        bed.add(name, "motivi");
        bed.heartbeat(name, 1);
    }
    for (const auto &name : names) {
        bed.waitForReadyEndpoints(name, names.size());
    }
    bed.waitUntil([&] { return bed.store->pendingWatches() == 2; });
    story.section("a change of the endpoints", [&] {
        story.equal(bed.heartbeat("m1", 2, "draining"), 200, "is acknowledged by one node");
        for (const auto &name : names) {
            bed.waitForReadyEndpoints(name, names.size() - 1);
        }
        story.equal(bed.onLoop([&] { return bed.store->pendingWatches() <= 4; }), true, "and reaches all, though few of them watch");
    });
    story.section("a node that watches is gone", [&] {
        for (const auto &name : names) {
            bed.kill(name);
            bed.publishVersion(++bed.version);
            for (const auto &other : names) {
                if (other != name) {
                    bed.waitForVersion(other, bed.version);
                }
            }
            bed.start(name);
            bed.heartbeat(name, 10, "ready", 300);
            bed.waitForVersion(name, bed.version);
        }
    });
    story.section("the store turns the watcher away", [&] {
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::Busy; });
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::None; });
        bed.publishVersion(++bed.version);
        for (const auto &name : names) {
            bed.waitForVersion(name, bed.version);
        }
    });
}

Test(mesh, a_planned_stop)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    std::shared_ptr<net::HttpExchange> held;
    bed.add("m1", "motivi", [&](const std::shared_ptr<net::HttpExchange> &exchange) { held = exchange; });
    bed.add("c1", "commesse");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    net::ClientAnswer answer;
    std::thread client([&] { answer = bed.request("c1", "/order/1", "POST"); });
    bed.waitUntil([&] { return held != nullptr; });
    std::promise<std::size_t> stopped;
    bed.stop("m1", stopped);
    story.equal(bed.readiness("m1"), 503, "the node takes no clients any more");
    bed.onLoop([&] {
        tests::MeshTestbed::respondOk(held);
        held.reset();
        return true;
    });
    client.join();
    story.equal(answer.head.status, 200, "the request in flight is answered");
    story.equal(stopped.get_future().get(), 0U, "and nothing is cut");
}

Test(mesh, a_stop_that_runs_out_of_time)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    std::vector<std::shared_ptr<net::HttpExchange>> held;
    bed.add("m1", "motivi", [&](const std::shared_ptr<net::HttpExchange> &exchange) { held.push_back(exchange); });
    bed.add("c1", "commesse");
    bed.setGrace("c1", std::chrono::seconds(1));
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    net::ClientAnswer answer;
    std::thread client([&] { answer = bed.request("c1", "/order/1", "POST"); });
    bed.waitUntil([&] { return !held.empty(); });
    std::promise<std::size_t> stopped;
    bed.stop("c1", stopped);
    story.equal(stopped.get_future().get(), 1U, "a request was still open at the end of the grace time");
    client.join();
    story.equal(answer.head.status, 504, "and got an answer, since it may have run");
    bed.onLoop([&] {
        held.clear();
        return true;
    });
}

Test(mesh, headers_between_nodes)
{
    tests::holds("an attempt's head is read as it was written", [] {
        mesh::AttemptHead head;
        head.endpointId = *rc::gen::arbitrary<std::string>();
        head.service = "motivi";
        head.rank = core::Rank(*rc::gen::inRange<std::uint32_t>(0, 9000));
        head.isIdempotent = *rc::gen::arbitrary<bool>();
        head.remaining = core::Duration(*rc::gen::inRange(0, 10000000));
        head.objectiveLeft = core::Duration(*rc::gen::inRange(-10000000, 10000000));
        head.configVersion = *rc::gen::inRange<std::uint64_t>(0, 1000000);
        const auto text = encode(head);
        RC_ASSERT(mesh::decodeAttemptHead(text) == std::optional(head));
        RC_ASSERT(!mesh::decodeAttemptHead(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()))));
    });
}

Test(mesh, settings_are_checked)
{
    tests::Story story;
    const auto example = [] {
        std::ifstream file(FIGPULLEY_SOURCE_DIR "/examples/settings/mesh.jsonc");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }();
    story.section("the example", [&] {
        text::Problems problems;
        const auto settings = mesh::readMeshSettings("mesh.jsonc", example, problems);
        story.check(settings.has_value() && problems.empty(), "is valid");
        story.equal(settings->entrance.port, 7001, "and read");
    });
    story.section("a misspelt key", [&] {
        text::Problems problems;
        auto broken = example;
        broken.replace(broken.find("\"entrance\""), 10, "\"entranse\"");
        story.check(!mesh::readMeshSettings("mesh.jsonc", broken, problems), "is refused");
        story.check(text::describe(problems.front()).starts_with("mesh.jsonc:6:"), "with its line");
    });
    story.section("an address that is none", [&] {
        text::Problems problems;
        auto broken = example;
        broken.replace(broken.find("127.0.0.1:7001"), 14, "localhost:7001");
        story.check(!mesh::readMeshSettings("mesh.jsonc", broken, problems), "is refused");
    });
    story.section("two listeners at one address", [&] {
        text::Problems problems;
        auto broken = example;
        broken.replace(broken.find("127.0.0.1:7002"), 14, "127.0.0.1:7001");
        story.check(!mesh::readMeshSettings("mesh.jsonc", broken, problems), "are refused before one of them cannot be bound");
        story.check(text::describe(problems.front()).find("must not have the address of") != std::string::npos, "with the reason");
    });
}
