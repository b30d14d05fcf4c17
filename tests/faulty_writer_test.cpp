#include "support/fixedresponse.h"
#include "support/meshtestbed.h"
#include "support/story.h"

#include "core/json.h"
#include "discovery/endpointrecord.h"
#include "mesh/changerelay.h"
#include "platform/platform.h"

using namespace figpulley;
using namespace std::chrono_literals;

namespace
{
// Deep enough to exhaust a stack of 8 MB in a recursive function.
constexpr std::size_t deepLevels = 200'000;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string objectText(const std::string &name, const std::string &revision, const std::string &spec)
{
    return fmt::format(R"({{"Metadata":{{"Name":"{}","Revision":{},"Finalizers":[]}},"Spec":{},"Status":null}})", name, revision, spec);
}

std::string recordText(const std::string &node)
{
    return discovery::encode({node, "i-1", "motivi", "mineo", "v1", 4, discovery::EndpointState::Ready, 100, 1, 0});
}

std::vector<std::string> namesOf(const store::CollectionItems &items)
{
    std::vector<std::string> names;
    for (const auto &item : items.items) {
        names.push_back(item.name);
    }
    return names;
}

// Specs that another writer may leave among the records of endpoints.
std::vector<std::string> oddSpecs()
{
    return {nested(deepLevels),
            R"({"a":)" + nested(deepLevels) + "}",
            R"({"slots":1e999})",
            R"({"slots":)" + std::string(400, '9') + "}",
            "\"\xff\xfe\"",
            R"("\ud800")",
            "null",
            "01",
            "\"" + std::string(300'000, 'x') + "\""};
}
} // namespace

// Guards against one object of another writer that ends the process or hides the other objects of its page (incident 0003).
Test(faulty_writer, odd_object_costs_only_itself)
{
    tests::Story story;
    const std::vector<std::string> goodNames {"a", "c"};
    const auto readPage = [&](const std::string &body, bool isWatch) {
        tests::FixedResponse server(body);
        return isWatch ? server.watch() : server.list();
    };
    story.section("an odd spec", [&] {
        for (const auto &spec : oddSpecs()) {
            const auto title = spec.substr(0, 20);
            const auto a = objectText("a", "5", recordText("10.0.0.1:7"));
            const auto b = objectText("b", "6", spec);
            const auto c = objectText("c", "7", recordText("10.0.0.2:7"));
            const auto list = readPage(fmt::format(R"({{"items":[{},{},{}],"HasMore":false,"CurrentRev":9}})", a, b, c), false);
            story.equal(list.kind, core::ErrorKind::None, "the list to be read: " + title);
            story.equal(list.revision, 9U, "the store's revision: " + title);
            story.check(namesOf(list) == std::vector<std::string> {"a", "b", "c"}, "all objects to be listed: " + title);
            const auto events = readPage(fmt::format(R"({{"events":[{{"Object":{},"Deleted":false}},{{"Object":{},"Deleted":false}},)"
                                                     R"({{"Object":{},"Deleted":true}}],"CurrentRev":9}})",
                                                     a, b, c),
                                         true);
            story.check(events.kind == core::ErrorKind::None && events.items.size() == 3, "all events to be read: " + title);
            story.check(events.items.size() == 3 && !events.items[0].isDeleted && events.items[2].isDeleted,
                        "each event to tell whether its object was deleted: " + title);
        }
    });
    story.section("odd metadata", [&] {
        const auto a = objectText("a", "5", "{}");
        const auto c = objectText("c", "7", "{}");
        for (const auto &object :
             {objectText("b", "1e999", "{}"), objectText("b", "-1", "{}"), objectText("b", "\"x\"", "{}"),
              objectText("b", nested(deepLevels), "{}"), objectText("b", std::string(40, '9'), "{}"), std::string(R"({"Spec":{}})"),
              std::string(R"({"Metadata":5})"), std::string("5"), std::string("nonsense"), nested(deepLevels)}) {
            const auto list = readPage(fmt::format(R"({{"items":[{},{},{}],"HasMore":true,"CurrentRev":9}})", a, object, c), false);
            story.equal(list.kind, core::ErrorKind::None, "the list to be read: " + object.substr(0, 50));
            story.check(namesOf(list) == goodNames, "the other objects to be listed: " + object.substr(0, 50));
            story.check(list.hasMore && list.unreadable == 1, "the object to be counted as unreadable: " + object.substr(0, 50));
            const auto events = readPage(
                fmt::format(R"({{"events":[{{"Object":{}}},{{"Object":{}}},{{"Object":{}}}],"CurrentRev":9}})", a, object, c), true);
            story.check(events.kind == core::ErrorKind::None && namesOf(events) == goodNames,
                        "the other events to be read: " + object.substr(0, 50));
        }
    });
    story.section("a page that is not an object", [&] {
        for (const auto *body :
             {"", "[]", "{", R"({"items":[)", R"({"items":5,"CurrentRev":1})", R"({"items":[]})", R"({"items":[],"CurrentRev":1e999})"}) {
            story.equal(readPage(body, false).kind, core::ErrorKind::PlatformUnavailable, std::string("the list to fail: ") + body);
        }
    });
    tests::holds("a page with altered bytes is read without a crash", [&] {
        std::string body = fmt::format(R"({{"items":[{},{}],"HasMore":false,"CurrentRev":9}})",
                                       objectText("a", "5", recordText("10.0.0.1:7")), objectText("b", "6", R"({"x":[1,{"y":"z\""}]})"));
        for (int change = *rc::gen::inRange(1, 6); change > 0; --change) {
            body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::elementOf(std::string("{}[]\",:\\e0\x01\xff"));
        }
        static_cast<void>(readPage(body, false));
    });
}

// Guards against a page without a readable name, after which the list ended early and what later pages hold was forgotten.
Test(faulty_writer, list_goes_on_after_a_page_with_odd_objects)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.onLoop([&] {
        bed.store->pageSize = 1;
        bed.store->writeRaw(mesh::LocalRegistrar::collection, "000-odd", nested(deepLevels));
        bed.store->writeRaw(mesh::LocalRegistrar::collection, "001-odd", R"({"slots":1e999})");
    });
    bed.addReady({"m1", "m2"}, "motivi");
    bed.add("c1", "commesse");
    bed.waitForReadyEndpoints("c1", 2);
    story.equal(bed.request("c1", "/look/1").head.status, 200, "a request to be served");
    story.section("an odd object is written while the nodes watch", [&] {
        bed.onLoop([&] { bed.store->writeRaw(mesh::LocalRegistrar::collection, "zzz-odd", nested(deepLevels)); });
        bed.addReady({"m3"}, "motivi");
        bed.waitForReadyEndpoints("c1", 3);
        story.equal(bed.request("c1", "/look/1").head.status, 200, "a request to be served");
    });
}

// Guards against a record that another writer has replaced and that its owner does not write again.
Test(faulty_writer, owner_replaces_its_odd_record)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.addReady({"m1", "m2"}, "motivi");
    bed.add("c1", "commesse");
    bed.waitForReadyEndpoints("c1", 2);
    for (const auto &spec : {nested(deepLevels), std::string(R"({"slots":1e999})"), std::string("{}")}) {
        bed.onLoop([&] { bed.store->writeRaw(mesh::LocalRegistrar::collection, bed.recordName("m1"), spec); });
        bed.waitUntil(
            [&] { return bed.store->read(mesh::LocalRegistrar::collection, bed.recordName("m1")).find("i-m1") != std::string::npos; });
        bed.waitForReadyEndpoints("c1", 2);
        story.equal(bed.request("c1", "/look/1").head.status, 200, "a request to be served: " + spec.substr(0, 20));
    }
}

// Guards against a configuration that another writer has damaged; the latest valid one has to stay active.
Test(faulty_writer, odd_configuration_keeps_the_last_good_one)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.addReady({"m1"}, "motivi");
    bed.waitForReadyEndpoints("m1", 1);
    for (const auto &spec : {nested(deepLevels), R"({"Version":9,"VirtualHosts":)" + nested(deepLevels) + "}",
                             std::string(R"({"Version":1e30})"), std::string(R"({"Version":1e999})"), std::string("5")}) {
        bed.onLoop([&] { bed.store->writeRaw("config", "main", spec); });
        story.equal(bed.request("m1", "/look/1").head.status, 200, "a request to be served: " + spec.substr(0, 30));
    }
    bed.publishVersion(7);
    bed.waitForVersion("m1", 7);
    story.equal(bed.request("m1", "/look/1").head.status, 200, "a request to be served with the next valid one");
}

Test(faulty_writer, odd_heartbeats_and_peer_messages_are_refused)
{
    tests::Story story;
    const platform::PlatformWireFormat wire;
    story.section("a heartbeat", [&] {
        const auto read = [&wire](const std::string &zone, const std::string &slots, const std::string &sequence, const std::string &born) {
            net::HttpRequest request;
            request.method = "POST";
            request.path = "/v1/Instances.Heartbeat/i-1";
            request.body = fmt::format(
                R"({{"Service":"a","Address":"b","Zone":{},"Version":"v","Slots":{},"State":"ready","ColdRemainingS":0,"Seq":{},"born":{}}})",
                zone, slots, sequence, born);
            return wire.readControlCall(request);
        };
        const auto isMalformed = [](const mesh::ControlCall &call) { return std::holds_alternative<mesh::MalformedCall>(call); };
        story.check(isMalformed(read(nested(deepLevels), "1", "1", "1")), "deep nesting to be refused");
        story.check(isMalformed(read("\"z\"", "1e999", "1", "1")), "a number of slots out of range to be refused");
        story.check(isMalformed(read("\"z\"", "1", "1e30", "1")), "a sequence number out of range to be refused");
        story.check(isMalformed(read("\"z\"", "1", "18446744073709551615", "1")), "a sequence number above 63 bits to be refused");
        story.check(isMalformed(read("\"z\"", "1", "1", "18446744073709551615")), "an incarnation above 63 bits to be refused");
        story.check(!isMalformed(read("\"z\"", "1", "1", "1776862573000")), "ordinary numbers to be read");
    });
    story.section("the answer of a watcher", [&] {
        story.equal(mesh::decodeItems(nested(deepLevels)).kind, core::ErrorKind::PlatformUnavailable, "deep nesting to be refused");
        story.equal(mesh::decodeItems(R"({"revision":1e999})").kind, core::ErrorKind::PlatformUnavailable,
                    "a number out of range to be refused");
        story.equal(mesh::decodeItems(R"({"revision":-4,"history_gone":false,"items":[]})").kind, core::ErrorKind::PlatformUnavailable,
                    "a negative revision to be refused");
    });
    story.section("a record of an endpoint", [&] {
        auto record = [](const std::string &node, const std::string &numbers) {
            return discovery::decodeEndpointRecord(
                fmt::format(R"({{"node":"{}","id":"i","service":"s","zone":"z","version":"v","state":"ready",{}}})", node, numbers));
        };
        const std::string numbers = R"("slots":4,"incarnation":100,"sequence":1,"cold_ms":0)";
        story.check(record("10.0.0.1:70", numbers).has_value(), "a valid record to be decoded");
        for (const auto *node :
             {"10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1:99999999999999999999", "10.0.0.1", ":", "10.0.0.1:7x"}) {
            story.check(!record(node, numbers), std::string("the port to be out of range: ") + node);
        }
        for (const auto *odd :
             {R"("slots":1e999,"incarnation":100,"sequence":1,"cold_ms":0)", R"("slots":-1,"incarnation":100,"sequence":1,"cold_ms":0)",
              R"("slots":4,"incarnation":9223372036854775807,"sequence":1,"cold_ms":0)",
              R"("slots":4,"incarnation":18446744073709551615,"sequence":1,"cold_ms":0)",
              R"("slots":4,"incarnation":100,"sequence":18446744073709551615,"cold_ms":0)",
              R"("slots":4,"incarnation":100,"sequence":1,"cold_ms":9223372036854775807)",
              R"("slots":99999999999999999999999,"incarnation":100,"sequence":1,"cold_ms":0)"}) {
            story.check(!record("10.0.0.1:70", odd), std::string("a number to be out of range: ") + odd);
        }
        story.check(!discovery::decodeEndpointRecord(nested(deepLevels)), "deep nesting to be refused");
        story.check(!discovery::decodeEndpointRecord(R"({"node":)" + nested(deepLevels) + "}"), "a deeply nested field to be refused");
    });
}

// Guards against a service that stays away because one incomplete or foreign message has replaced its endpoint.
Test(faulty_writer, odd_control_calls_replace_no_endpoint)
{
    tests::Story story;
    tests::MeshTestbed bed;
    bed.publish();
    bed.addReady({"m1"}, "motivi");
    bed.add("c1", "commesse");
    bed.waitForReadyEndpoints("c1", 1);
    int sequence = 1;
    const auto checkServed = [&] {
        story.equal(bed.heartbeat("m1", ++sequence), 200, "the endpoint's next heartbeat to be acknowledged");
        story.equal(bed.onLoop([&] { return bed.node("m1").board().local.read().record()->id; }), std::string("i-m1"),
                    "the record to be the endpoint's");
        story.equal(bed.request("c1", "/look/1").head.status, 200, "its requests to be served");
    };
    const auto call = [&](const std::string &path, const std::string &body) { return bed.sendControlCall("m1", path, body); };
    const std::string complete = fmt::format(
        R"({{"Service":"motivi","Address":"{}","Zone":"mineo","Version":"v1","Slots":4,"State":"ready","ColdRemainingS":0,"Seq":1,"born":900}})",
        bed.upstreamOf("m1").toString());
    const auto altered = [&complete](const std::string &from, const std::string &to) {
        auto body = complete;
        body.replace(body.find(from), from.size(), to);
        return body;
    };
    story.section("a heartbeat without end", [&] {
        const auto endless = altered(R"("Version":"v1")", R"("Version":")" + std::string(100'000, 'v') + '"');
        story.equal(call("/v1/Instances.Heartbeat/x-0", endless), 413, "it to be refused");
        checkServed();
    });
    story.section("an incomplete heartbeat of a later start", [&] {
        story.equal(call("/v1/Instances.Heartbeat/x-1", altered(R"("Zone":"mineo","Version":"v1",)", "")), 400, "it to be refused");
        checkServed();
    });
    story.section("a heartbeat that names another address", [&] {
        story.equal(call("/v1/Instances.Heartbeat/x-2", altered(bed.upstreamOf("m1").toString(), "127.0.0.1:9")), 400, "it to be refused");
        checkServed();
    });
    story.section("a departure of an endpoint that is not this VM's", [&] {
        static_cast<void>(call("/v1/Instances.Deregister/x-3", ""));
        static_cast<void>(call("/v1/Instances.Deregister/x-3", R"({"born":800})"));
        story.equal(call("/v1/Instances.Deregister/i-m1", R"({"born":"x"})"), 400, "one that cannot be read to be refused");
        checkServed();
    });
    story.section("a departure of another endpoint at a node that has just started", [&] {
        bed.kill("m1");
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::Busy; });
        bed.start("m1");
        static_cast<void>(call("/v1/Instances.Deregister/x-4", ""));
        bed.onLoop([&] { return bed.store->fault = tests::MetadataStore::Fault::None; });
        bed.heartbeat("m1", ++sequence);
        bed.heartbeat("m1", ++sequence);
        bed.waitUntil([&] {
            const auto &board = bed.node("m1").board();
            return board.config.read().table != nullptr && board.local.read().acceptsRequests();
        });
        checkServed();
    });
}

Test(faulty_writer, json_is_split_without_decoding)
{
    tests::Story story;
    story.section("an object", [&] {
        const auto members = core::splitJsonObject(R"( { "a" : {"x":[1,"},]"]} , "b":"\"," ,"c":1e999} )");
        story.check(members && members->size() == 3, "three members");
        story.check(members && (*members)[0].value == R"({"x":[1,"},]"]})" && (*members)[1].value == R"("\",")"
                        && (*members)[2].value == "1e999",
                    "each value as it stands in the text");
    });
    story.section("an array", [&] {
        const auto elements = core::splitJsonArray("[1, [2,3] ,{\"a\":[4]}]");
        story.check(elements && *elements == std::vector<std::string_view> {"1", "[2,3]", "{\"a\":[4]}"}, "three elements");
        story.check(core::splitJsonArray("[ ]") && core::splitJsonArray("[ ]")->empty(), "no element in an empty array");
    });
    story.section("a text that does not end", [&] {
        for (const auto *text : {"", "[", "]", "[\"]", "[[]", "[]]", "{]", "[1"}) {
            story.check(!core::splitJsonArray(text), std::string("nothing: ") + text);
        }
    });
    tests::holds("the parts of a valid text are valid, and as many as it has", [] {
        const auto numbers = *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());
        nlohmann::json array = nlohmann::json::array();
        for (const auto &number : numbers) {
            array.push_back({{"k", number}});
        }
        const auto text = array.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        const auto parts = core::splitJsonArray(text);
        RC_ASSERT(parts.has_value());
        RC_ASSERT(parts->size() == numbers.size());
        for (const auto part : *parts) {
            RC_ASSERT(core::findJsonMember(part, "k").has_value());
            RC_ASSERT(!core::parseJson(part).is_discarded());
        }
    });
}
