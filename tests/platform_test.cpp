#include "support/story.h"

#include "net/loopthread.h"
#include "platform/platform.h"
#include "support/metadatastore.h"

#include <chrono>
#include <future>
#include <memory>

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

Test(platform, control_calls_are_decoded_or_reported_as_malformed)
{
    tests::Story story;
    const platform::PlatformWireFormat wire;
    story.section("a heartbeat", [&] {
        const auto call = wire.readControlCall(post("/v1/Instances.Heartbeat/i-7f3a91c2", goodHeartbeat));
        const auto *heartbeat = std::get_if<discovery::Heartbeat>(&call);
        story.check(heartbeat != nullptr, "the heartbeat to be decoded");
        story.equal(heartbeat->id, std::string("i-7f3a91c2"), "the endpoint's id from the path");
        story.equal(heartbeat->slots, 294, "the number of slots from the body");
        story.equal(heartbeat->sequence, 4, "the sequence number from the body");
        story.equal(heartbeat->incarnation, 1776862573000, "the incarnation from the body");
        story.check(heartbeat->coldRemaining == 1500ms, "the remaining cold start in seconds from the body");
    });
    story.section("a deregistration", [&] {
        const auto call = wire.readControlCall(post("/v1/Instances.Deregister/i-1", R"({"born":5})"));
        story.equal(std::get<discovery::Deregistration>(call).incarnation, 5, "the incarnation from the body");
        story.check(std::holds_alternative<discovery::Deregistration>(wire.readControlCall(post("/v1/Instances.Deregister/i-1", ""))),
                    "a deregistration without a body to be decoded");
    });
    story.section("a heartbeat with missing or invalid fields", [&] {
        for (const auto *body : {"", "[]", "{}", R"({"Service":1})", R"({"Service":"a","Address":"b","Slots":"x","State":"ready","Seq":1})",
                                 R"({"Service":"a","Address":"b","Slots":1,"State":"sleepy","Seq":1})",
                                 R"({"Service":"a","Address":"b","Slots":1,"State":"ready","Seq":1,"born":"x"})"}) {
            const auto call = wire.readControlCall(post("/v1/Instances.Heartbeat/i-1", body));
            story.check(std::holds_alternative<mesh::MalformedCall>(call), "the heartbeat to be malformed");
        }
    });
    story.section("a heartbeat without one of its fields, or with one of another type or out of range", [&] {
        const auto good = nlohmann::json::parse(goodHeartbeat);
        const auto isMalformed = [&wire](const nlohmann::json &body) {
            const auto call = wire.readControlCall(post("/v1/Instances.Heartbeat/i-1", body.dump()));
            return std::holds_alternative<mesh::MalformedCall>(call);
        };
        story.check(!isMalformed(good), "the complete one to be decoded");
        for (const auto &[key, value] : good.items()) {
            auto body = good;
            body.erase(key);
            // Heartbeats give the start time only where it is part of the contract.
            story.equal(isMalformed(body), key != "born", "it to be malformed without " + key);
            for (const auto &other : {nlohmann::json(), nlohmann::json::array(), nlohmann::json::object(), nlohmann::json(true),
                                      value.is_string() ? nlohmann::json(7) : nlohmann::json("7")}) {
                body[key] = other;
                story.check(isMalformed(body), "it to be malformed with another type of " + key);
            }
        }
        for (const auto &[key, value] : std::vector<std::pair<std::string, nlohmann::json>> {{"Slots", -1},
                                                                                             {"Slots", 1e9},
                                                                                             {"ColdRemainingS", -1},
                                                                                             {"ColdRemainingS", 1e9},
                                                                                             {"Seq", -1},
                                                                                             {"born", -1},
                                                                                             {"born", 253'402'300'800'000}}) {
            auto body = good;
            body[key] = value;
            story.check(isMalformed(body), "it to be malformed with " + key + " " + value.dump());
        }
    });
    story.section("a deregistration whose body cannot be read", [&] {
        for (const auto *body : {"{", "[]", R"({"born":"x"})", R"({"born":-1})", R"({"born":1.5})", "\1"}) {
            const auto call = wire.readControlCall(post("/v1/Instances.Deregister/i-1", body));
            story.check(std::holds_alternative<mesh::MalformedCall>(call), std::string("it to be malformed: ") + body);
        }
    });
    tests::holds("truncated and altered heartbeats are decoded without an exception", [&] {
        std::string body = goodHeartbeat;
        body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::inRange(' ', '~');
        body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
        static_cast<void>(wire.readControlCall(post("/v1/Instances.Heartbeat/i-1", body)));
    });
}

Test(platform, the_configuration_is_decoded_into_routes_and_limits)
{
    tests::Story story;
    const platform::PlatformWireFormat wire;
    std::string reason;
    const auto set = wire.readRoutes(configuration, reason);
    story.check(set.has_value(), "the configuration to be decoded");
    story.equal(set->version, 7U, "the version of the configuration");
    story.equal(set->routes.size(), 2U, "all routes of the configuration");
    story.equal(set->routes[0].split.size(), 2U, "both services of the traffic split");
    story.check(set->routes[0].timeout == 6s && set->routes[0].objective == 1500ms, "the timeout and the target latency in seconds");
    story.equal(set->routes[1].kind, routing::RequestKind::Unsafe, "an unknown kind to be unsafe");
    story.check(set->routes[1].timeout == 700ms, "fractions of a second in the timeout");
    story.check(set->limits.idleTimeout == 15s, "the idle timeout of the limits");
    tests::holds("a truncated configuration is rejected with a reason", [&] {
        const std::string text = configuration;
        std::string truncationReason;
        RC_ASSERT(!wire.readRoutes(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())), truncationReason));
        RC_ASSERT(!truncationReason.empty());
    });
}

Test(platform, headers_of_requests_and_responses_are_translated)
{
    tests::Story story;
    const platform::PlatformWireFormat wire;
    const auto client = wire.readClientHead({{"x-request-id", "9c41"}, {"X-DEADLINE-MS", "6000"}});
    story.equal(client.requestId, std::string("9c41"), "the id of the client's attempt");
    story.check(client.clientTimeout == std::optional<core::Duration>(6s), "the client timeout in milliseconds");
    story.check(!wire.readClientHead({{"X-Deadline-Ms", "soon"}}).clientTimeout, "a deadline that is not a number to be ignored");
    net::Headers headers;
    wire.addUpstreamHeaders(headers, {1500ms, "i-1", "motivi"});
    story.equal(std::string(net::findHeader(headers, "X-Deadline-Ms")), std::string("1500"), "the remaining time in milliseconds");
    story.equal(std::string(net::findHeader(headers, "X-Caller-Service")), std::string("motivi"),
                "the service where the request entered the system");
    net::ClientResponseHead head;
    head.status = 421;
    story.check(wire.readUpstreamReply(head).isNotRun, "a request with status 421 not to have run");
    head.status = 503;
    story.check(!wire.readUpstreamReply(head).isNotRun, "a request with only status 503 not to count as not run");
    head.headers = {{"X-Not-Run", "1"}};
    story.check(wire.readUpstreamReply(head).isNotRun, "a request with X-Not-Run in its response not to have run");
}

Test(platform, statements_of_endpoints_about_themselves_are_decoded)
{
    tests::Story story;
    const platform::PlatformWireFormat wire;
    const auto replyWith = [&wire](net::Headers headers) {
        net::ClientResponseHead head;
        head.status = 200;
        head.headers = std::move(headers);
        return wire.readUpstreamReply(head);
    };
    story.section("a response without a statement", [&] {
        const auto reply = replyWith({});
        story.check(!reply.rateLimit && !reply.isRateLimitInvalid && !reply.isLeaving, "no limit and no departure");
    });
    story.section("a limit", [&] {
        story.equal(replyWith({{"server-limit", "72.25"}}).rateLimit, std::optional(72.25), "a decimal number of requests per second");
        story.equal(replyWith({{"Server-Limit", "0"}}).rateLimit, std::optional(0.0), "a limit of 0 to differ from no limit");
    });
    story.section("a limit that is not a number of requests", [&] {
        for (const auto *text : {"-1", "fast", "nan", "inf", "12 ", "1e999"}) {
            const auto reply = replyWith({{"Server-Limit", text}});
            story.check(!reply.rateLimit && reply.isRateLimitInvalid, std::string("the limit to be marked invalid: ") + text);
        }
    });
    story.section("a departure", [&] {
        story.check(replyWith({{"Server-Leaving", "1"}}).isLeaving, "the value 1 to mean that the endpoint is leaving");
        story.check(!replyWith({{"Server-Leaving", "0"}}).isLeaving, "another value to mean nothing");
    });
}

// Guards against a restore that goes unnoticed, because the response that shows it first is an error.
Test(platform, responses_of_every_status_state_the_era_of_the_store)
{
    tests::Story story;
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<tests::MetadataStore> stored;
    std::unique_ptr<platform::PlatformStore> store;
    thread.call([&] {
        client = std::make_unique<net::HttpClient>(thread.loop());
        stored = std::make_unique<tests::MetadataStore>(thread.loop(), net::Address {"127.0.0.1", 0});
        store = std::make_unique<platform::PlatformStore>(*client, stored->address().toString());
        stored->write("records", "a", "{}");
        stored->copy();
        stored->restore(false);
    });
    const auto readItems = [&](auto call) {
        std::promise<store::CollectionItems> promise;
        thread.call([&] { call([&](const store::CollectionItems &items) { promise.set_value(items); }); });
        return promise.get_future().get();
    };
    const auto readItem = [&](auto call) {
        std::promise<store::ItemResult> promise;
        thread.call([&] { call([&](const store::ItemResult &result) { promise.set_value(result); }); });
        return promise.get_future().get();
    };
    const auto list = readItems([&](auto callback) { store->list("records", {}, callback); });
    story.check(list.kind == core::ErrorKind::None && list.era == 2, "a list to state the era");
    const auto watch = readItems([&](auto callback) { store->watch("records", 90, 1s, callback); });
    story.check(watch.kind == core::ErrorKind::HistoryGone && watch.era == 2, "a watch from an unknown revision to state it");
    const auto missing = readItem([&](auto callback) { store->get("records", "b", callback); });
    story.check(missing.kind == core::ErrorKind::NotFound && missing.era == 2, "a missing object to state it");
    const auto conflict = readItem([&](auto callback) { store->put("records", "a", "{}", 0, callback); });
    story.check(conflict.kind == core::ErrorKind::Conflict && conflict.era == 2, "a conflict to state it");
    thread.call([&] { stored->fault = tests::MetadataStore::Fault::Busy; });
    const auto refused = readItem([&](auto callback) { store->put("records", "c", "{}", 0, callback); });
    story.check(refused.kind == core::ErrorKind::PlatformUnavailable && refused.era == 2, "a refused write to state it");
    thread.call([&] {
        store.reset();
        stored.reset();
        client.reset();
    });
}
