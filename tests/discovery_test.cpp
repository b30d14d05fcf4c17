#include "support/story.h"

#include "core/random.h"
#include "discovery/discovery.h"

#include <chrono>
#include <unordered_set>

using namespace figpulley;
using namespace std::chrono_literals;
using discovery::EndpointState;
using discovery::UpdateResult;

namespace
{
constexpr const char *endpointAddress = "10.0.0.1:8301";

core::TimePoint after(core::Duration duration)
{
    return core::TimePoint {} + 1h + duration;
}

discovery::LocalEndpoint localEndpoint()
{
    return discovery::LocalEndpoint({"10.0.0.1:8300", "motivi", endpointAddress, "mineo"}, after(0s));
}

discovery::Heartbeat heartbeat(std::int64_t incarnation, std::int64_t sequence, bool isDraining = false, std::string id = "i-1")
{
    discovery::Heartbeat result;
    result.id = std::move(id);
    result.service = "motivi";
    result.address = endpointAddress;
    result.slots = 10;
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.isDraining = isDraining;
    return result;
}

bool isStale(UpdateResult result)
{
    return result == UpdateResult::Stale;
}

discovery::EndpointRecord recordOf(std::int64_t incarnation, EndpointState state, std::string id = "i-1")
{
    discovery::EndpointRecord record;
    record.node = "10.0.0.1:8300";
    record.id = std::move(id);
    record.service = "motivi";
    record.slots = 10;
    record.incarnation = incarnation;
    record.startedMs = incarnation;
    record.state = state;
    return record;
}
} // namespace

Test(discovery, heartbeats_and_deregistration_decide_whether_an_endpoint_accepts_requests)
{
    tests::Story story;
    story.section("an endpoint that starts, drains and deregisters", [&] {
        auto local = localEndpoint();
        story.check(!local.mergeStoredRecord(std::nullopt, after(0s)), "no record to write before the first heartbeat");
        story.check(!local.acceptsRequests(), "no requests to be accepted before the first heartbeat");
        story.equal(local.applyHeartbeat(heartbeat(100, 1), after(1s)), UpdateResult::Changed, "the first heartbeat to change the record");
        story.check(local.acceptsRequests(), "requests to be accepted after the first heartbeat");
        story.equal(local.applyHeartbeat(heartbeat(100, 2), after(2s)), UpdateResult::Unchanged,
                    "the same heartbeat with the next number to change nothing");
        story.equal(local.applyHeartbeat(heartbeat(100, 3, true), after(3s)), UpdateResult::Changed,
                    "a draining heartbeat to change the record");
        story.check(!local.acceptsRequests(), "no requests to be accepted while the endpoint drains");
        story.equal(local.applyHeartbeat(heartbeat(100, 4), after(4s)), UpdateResult::Unchanged,
                    "a ready heartbeat not to end the draining");
        story.check(!local.acceptsRequests(), "no requests to be accepted after a ready heartbeat of a draining endpoint");
        story.equal(local.applyDeregistration({"i-1", 100}, after(5s), 5000), UpdateResult::Changed,
                    "the deregistration to change the record");
        story.equal(local.record()->state, EndpointState::Gone, "the endpoint to be gone");
    });
    story.section("an endpoint that states its departure in a response", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 1), after(1s)));
        story.equal(local.applyLeaving("i-1", 99, after(1s)), UpdateResult::Stale,
                    "a late response of an earlier incarnation to change nothing");
        story.equal(local.applyLeaving("i-1", 100, after(1s)), UpdateResult::Changed, "the response to change the record");
        story.check(!local.acceptsRequests(), "no requests to be accepted");
        story.equal(local.applyLeaving("i-1", 100, after(1s)), UpdateResult::Unchanged, "the next response to change nothing");
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 2), after(2s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after a ready heartbeat of the same incarnation");
        static_cast<void>(local.applyHeartbeat(heartbeat(200, 1), after(3s)));
        story.check(!local.acceptsRequests(), "a heartbeat under the same id not to count alone, as the clock may have stepped back");
        story.check(!isStale(local.confirm("i-1", after(3s))), "the statement of the next incarnation to count");
        story.check(local.acceptsRequests(), "requests to be accepted for the next incarnation");
    });
    story.section("a delayed heartbeat", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 5, true), after(1s)));
        story.equal(local.applyHeartbeat(heartbeat(100, 4), after(2s)), UpdateResult::Stale,
                    "a heartbeat from before the draining to be stale");
        story.equal(local.applyHeartbeat(heartbeat(200, 1, false, "i-2"), after(3s)), UpdateResult::Changed,
                    "the next incarnation to replace the first");
        story.equal(local.applyHeartbeat(heartbeat(100, 9), after(4s)), UpdateResult::Stale,
                    "a heartbeat of the replaced incarnation to be stale");
        story.equal(local.record()->id, std::string("i-2"), "the record of the newer incarnation to stay");
        story.check(local.acceptsRequests(), "the newer incarnation to accept requests");
    });
    story.section("an endpoint that restarts with the same id", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 50, true), after(1s)));
        story.equal(local.applyHeartbeat(heartbeat(300, 1), after(2s)), UpdateResult::Changed,
                    "a newer incarnation with a lower sequence number to be accepted");
        story.check(!isStale(local.confirm("i-1", after(2s))), "its own statement to count");
        story.check(local.acceptsRequests(), "the new incarnation to accept requests");
        story.equal(local.applyDeregistration({"i-1", 100}, after(3s), 3000), UpdateResult::Stale,
                    "the deregistration of the earlier incarnation to be stale");
        story.check(local.acceptsRequests(), "the new incarnation to accept requests after a stale deregistration");
    });
    // Guards against acknowledged departures that change nothing, so that requests go on reaching the endpoint (review/9).
    story.section("an endpoint that restarts with the same id after its clock has stepped back", [&] {
        const auto begin = [&](core::Duration firstAt) {
            auto local = localEndpoint();
            static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
            static_cast<void>(local.applyHeartbeat(heartbeat(1000, 1), after(firstAt)));
            story.equal(local.applyHeartbeat(heartbeat(500, 1), after(firstAt + 1500ms)), UpdateResult::Stale,
                        "its first heartbeat not to replace the record, as it may be late");
            story.check(local.acceptsRequests(), "requests to be accepted");
            return local;
        };
        auto local = begin(1s);
        story.equal(local.applyHeartbeat(heartbeat(500, 2, true), after(3s)), UpdateResult::Changed, "a draining heartbeat to count");
        story.check(!local.acceptsRequests(), "no requests to be accepted while it drains");
        story.check(local.record()->incarnation > 1000, "its record to follow the earlier one in the order of incarnations");
        static_cast<void>(local.applyHeartbeat(heartbeat(1000, 2), after(4s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(500, 1), after(4s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after late heartbeats");
        local = begin(1s);
        story.equal(local.applyDeregistration({"i-1", 500}, after(3s), 3000), UpdateResult::Changed, "a deregistration to count");
        story.check(!local.acceptsRequests(), "no requests to be accepted after it");
        local = begin(1s);
        for (int sequence = 2; sequence < 9; ++sequence) {
            static_cast<void>(local.applyHeartbeat(heartbeat(500, sequence), after(1s + sequence * 1500ms)));
            story.check(!local.checkHeartbeatTimeout(6s, after(1s + sequence * 1500ms)), "the endpoint not to count as silent");
        }
        story.equal(local.record()->startedMs, 500, "its own record to replace the earlier one, as it goes on with its heartbeats");
        story.check(local.acceptsRequests(), "requests to be accepted");
        story.equal(local.applyHeartbeat(heartbeat(500, 20, true), after(20s)), UpdateResult::Changed,
                    "a later draining heartbeat to count");
    });
    story.section("an endpoint that restarts with another id after its clock has stepped back", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(1000, 1), after(1s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(500, 1, false, "i-2"), after(3s)));
        story.equal(local.record()->id, std::string("i-1"), "its heartbeat not to replace the record, as it may be late");
        story.check(local.needsConfirmation(), "the endpoint to be asked for its id");
        story.check(isStale(local.confirm("i-2", after(2s))), "an answer from before the heartbeat not to count");
        story.equal(local.confirm("i-2", after(4s)), UpdateResult::Changed, "the answer to replace the record");
        story.check(local.acceptsRequests() && local.record()->id == "i-2", "requests to be accepted for it");
        static_cast<void>(local.applyHeartbeat(heartbeat(1000, 2), after(5s)));
        static_cast<void>(local.confirm("i-2", after(5s)));
        story.check(local.acceptsRequests() && local.record()->id == "i-2", "a late heartbeat of the earlier one to change nothing");
    });
    story.section("heartbeats of an earlier incarnation that a partition has held back for long", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(recordOf(1000, EndpointState::Ready), after(0s)));
        static_cast<void>(local.confirm("i-1", after(1s)));
        for (int sequence = 1; sequence < 20; ++sequence) {
            static_cast<void>(local.applyHeartbeat(heartbeat(500, sequence, false, "i-0"), after(20s + sequence * 10ms)));
        }
        static_cast<void>(local.applyHeartbeat(heartbeat(1000, 20), after(21s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(500, 21, false, "i-0"), after(22s)));
        story.equal(local.record()->id, std::string("i-1"), "the present incarnation to stay");
        story.check(local.acceptsRequests(), "requests to be accepted for it");
    });
    // Guards against an acknowledged deregistration that changes nothing, so that requests go on reaching the endpoint (review/8).
    story.section("an endpoint that restarts with the same id and deregisters before its first heartbeat", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 50), after(1s)));
        story.equal(local.applyDeregistration({"i-1", 300}, after(2s), 2000), UpdateResult::Changed,
                    "the deregistration to change the record");
        story.check(!local.acceptsRequests(), "no requests to be accepted");
        story.equal(local.record()->incarnation, 300, "the record to be of the new incarnation");
        story.equal(local.applyHeartbeat(heartbeat(100, 51), after(3s)), UpdateResult::Stale,
                    "a late heartbeat of the earlier incarnation to be stale");
        static_cast<void>(local.applyHeartbeat(heartbeat(300, 1), after(3s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after a late heartbeat of the new one");
        static_cast<void>(local.applyHeartbeat(heartbeat(400, 1), after(4s)));
        story.check(!isStale(local.confirm("i-1", after(4s))), "the statement of the next one to count");
        story.check(local.acceptsRequests(), "requests to be accepted for the next one");
    });
    story.section("an endpoint without heartbeats", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 1), after(0s)));
        story.check(!local.checkHeartbeatTimeout(6s, after(5s)), "no change before the timeout");
        story.check(local.checkHeartbeatTimeout(6s, after(7s)), "the record to change after the timeout");
        story.equal(local.applyHeartbeat(heartbeat(100, 2), after(8s)), UpdateResult::Changed, "the next heartbeat to change the record");
        story.equal(local.record()->state, EndpointState::Ready, "the endpoint to be ready again");
    });
    story.section("a heartbeat of another service", [&] {
        auto local = localEndpoint();
        auto foreign = heartbeat(100, 1);
        foreign.service = "commesse";
        story.equal(local.applyHeartbeat(foreign, after(0s)), UpdateResult::Foreign, "the heartbeat to be rejected as foreign");
        foreign = heartbeat(100, 1);
        foreign.address = "10.0.0.9:8301";
        story.equal(local.applyHeartbeat(foreign, after(0s)), UpdateResult::Foreign, "one of another address to be rejected, too");
    });
    story.section("a deregistration of an endpoint that is not known", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.applyDeregistration({"x-1", 0}, after(0s), 5000));
        story.equal(local.applyHeartbeat(heartbeat(100, 1), after(1s)), UpdateResult::Changed, "the heartbeat of another one to count");
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(1s)));
        story.check(local.acceptsRequests(), "requests to be accepted for it");
        story.equal(local.applyHeartbeat(heartbeat(400, 1, false, "x-1"), after(2s)), UpdateResult::Stale,
                    "a late heartbeat of the one that has left to be stale");
        story.equal(local.applyDeregistration({"x-2", 700}, after(3s), 5000), UpdateResult::Changed,
                    "the deregistration of one that is not known to be kept in the record");
        story.check(local.acceptsRequests() && local.record()->state == EndpointState::Ready,
                    "the endpoint of the record to stay in service");
        story.equal(local.applyDeregistration({"x-2", 700}, after(3s), 5000), UpdateResult::Stale, "the same one to change nothing more");
        story.equal(local.applyHeartbeat(heartbeat(700, 1, false, "x-2"), after(4s)), UpdateResult::Stale,
                    "its late heartbeat to be stale");
        story.equal(local.record()->id, std::string("i-1"), "the record to be the one of the endpoint in service");
    });
    story.section("a deregistration of an endpoint that is not known, before the store is read", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.applyDeregistration({"x-1", 800}, after(0s), 5000));
        story.check(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(1s)),
                    "the departure to be added to the stored record");
        story.check(local.record()->id == "i-1" && local.record()->state == EndpointState::Ready, "the record to be the stored one");
        story.equal(local.applyHeartbeat(heartbeat(800, 1, false, "x-1"), after(2s)), UpdateResult::Stale,
                    "a late heartbeat of the one that has left to be stale");
    });
}

Test(discovery, a_restarted_node_respects_earlier_deregistrations)
{
    tests::Story story;
    story.section("the stored record is draining", [&] {
        auto local = localEndpoint();
        story.equal(local.applyHeartbeat(heartbeat(100, 3), after(0s)), UpdateResult::Changed,
                    "a heartbeat before the store is read to create a record");
        story.check(!local.acceptsRequests(), "no requests to be accepted after a single heartbeat");
        story.check(!local.mergeStoredRecord(recordOf(100, EndpointState::Draining), after(1s)), "no write, as the stored record is final");
        story.check(!local.acceptsRequests(), "no requests to be accepted with a draining record in the store");
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 4), after(2s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after delayed ready heartbeats");
    });
    story.section("the stored record is of an earlier incarnation", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.applyHeartbeat(heartbeat(200, 1), after(0s)));
        story.check(local.mergeStoredRecord(recordOf(100, EndpointState::Gone), after(1s)),
                    "the record of the new incarnation to need a write");
        story.check(!local.acceptsRequests(), "no requests to be accepted, as its departure may have been told to lost nodes only");
        story.check(!isStale(local.confirm("i-1", after(1s))), "its own statement to count");
        story.check(local.acceptsRequests(), "the new incarnation to accept requests");
    });
    story.section("the store cannot be read", [&] {
        auto local = localEndpoint();
        for (int sequence = 7; sequence < 12; ++sequence) {
            static_cast<void>(local.applyHeartbeat(heartbeat(100, sequence), after(std::chrono::seconds(sequence - 7))));
        }
        story.check(!local.acceptsRequests(), "no requests to be accepted because of heartbeats, all of which may be late");
        story.check(isStale(local.confirm("i-1", after(4s))), "its health not to count before other nodes were asked");
        local.concludeInquiry();
        story.check(!isStale(local.confirm("i-1", after(4s))), "its health to count then");
        story.check(local.acceptsRequests(), "requests to be accepted");
    });
    story.section("the store cannot be read, and other nodes would know a departure", [&] {
        auto local = localEndpoint();
        local.setWitnesses(2);
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 7), after(0s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after a single heartbeat");
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 8), after(1500ms)));
        story.check(local.acceptsRequests(), "requests to be accepted after two heartbeats, whatever its health check says");
    });
    story.section("the store cannot be read, no other node is there, and the health check fails", [&] {
        auto local = localEndpoint();
        local.concludeInquiry();
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 7), after(discovery::maxHeartbeatDelay)));
        story.check(!local.acceptsRequests(), "no requests to be accepted because of a heartbeat that may be late");
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 8), after(discovery::maxHeartbeatDelay + 1s)));
        story.check(local.acceptsRequests(), "requests to be accepted after one that was sent since the start");
    });
    story.section("the endpoint deregisters before the store is read", [&] {
        auto local = localEndpoint();
        story.equal(local.applyDeregistration({"i-1", 0}, after(0s), 5000), UpdateResult::Changed,
                    "a deregistration without incarnation to create a record");
        story.check(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(1s)), "a write over the older stored record");
        story.check(!local.acceptsRequests(), "no requests to be accepted although the stored record is ready");
        story.equal(local.applyHeartbeat(heartbeat(100, 9), after(2s)), UpdateResult::Stale, "a delayed heartbeat to be stale");
        story.equal(local.applyHeartbeat(heartbeat(6000, 1), after(8s)), UpdateResult::Changed,
                    "a heartbeat of the next incarnation to change the record");
        story.check(!isStale(local.confirm("i-1", after(8s))), "its own statement to count");
        story.check(local.acceptsRequests(), "the next incarnation to accept requests");
    });
    story.section("the stored record is ready, but the earlier process may have acknowledged a departure without the store", [&] {
        auto local = localEndpoint();
        story.check(!local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)), "no record to write");
        story.check(!local.acceptsRequests(), "no requests to be accepted because of the record alone");
        story.check(local.needsConfirmation(), "a sign of the endpoint to be missing");
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 7), after(1s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 8), after(2s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after two heartbeats, both of which may be late");
        local.setWitnesses(2);
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 9), after(3s)));
        story.check(local.acceptsRequests(), "requests to be accepted after the next one, as other nodes would know a departure");
    });
    story.section("a heartbeat arrives before the store shows the same incarnation", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 7), after(0s)));
        static_cast<void>(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)));
        story.check(!local.acceptsRequests(), "no requests to be accepted after a single heartbeat, which may be late");
    });
    story.section("the endpoint states its health", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)));
        story.check(isStale(local.confirm("i-2", after(0s))), "the statement of another endpoint to change nothing");
        story.check(!local.acceptsRequests(), "no requests to be accepted because of it");
        story.check(isStale(local.confirm("i-1", after(-1s))), "its own statement from before the start to change nothing");
        story.check(!isStale(local.confirm("i-1", after(0s))), "its own statement to count");
        story.check(local.acceptsRequests(), "requests to be accepted");
        story.equal(local.applyDeregistration({"i-1", 100}, after(1s), 5000), UpdateResult::Changed, "its deregistration to count");
        story.check(isStale(local.confirm("i-1", after(2s))), "a late statement to change nothing");
        story.check(!local.acceptsRequests(), "no requests to be accepted after the deregistration");
    });
    story.section("the endpoint has started anew meanwhile", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(200, 1), after(1s)));
        story.check(!local.acceptsRequests() && local.needsConfirmation(), "its own statement to be missing");
        local.setWitnesses(2);
        static_cast<void>(local.applyHeartbeat(heartbeat(300, 1), after(2s)));
        story.check(local.acceptsRequests(), "requests to be accepted after its first heartbeat if other nodes would know a departure");
    });
    story.section("the endpoint starts anew later", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(200, 1), after(discovery::maxHeartbeatDelay + 1s)));
        story.check(local.acceptsRequests(), "requests to be accepted after its first heartbeat");
    });
    story.section("the node reads its own record again", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.mergeStoredRecord(std::nullopt, after(0s)));
        static_cast<void>(local.applyHeartbeat(heartbeat(100, 1), after(1s)));
        static_cast<void>(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(2s)));
        story.check(local.acceptsRequests(), "requests to be accepted as before");
    });
}

// Guards against a restarted node that takes the restored record of its endpoint for the last one.
Test(discovery, records_that_other_nodes_know_complete_the_stored_one)
{
    tests::Story story;
    story.section("the store has lost the departure", [&] {
        auto local = localEndpoint();
        story.check(local.mergePeerRecord(recordOf(100, EndpointState::Draining), after(0s)), "the record of the peers to be taken");
        story.check(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)), "it to be written again");
        story.check(!local.acceptsRequests(), "no requests to be accepted");
        story.check(local.applyHeartbeat(heartbeat(100, 9), after(1s)) == UpdateResult::Unchanged, "a late heartbeat to change nothing");
        story.check(!local.acceptsRequests(), "no requests to be accepted after it");
    });
    story.section("the peers know less than the store", [&] {
        auto local = localEndpoint();
        story.check(local.mergePeerRecord(recordOf(100, EndpointState::Draining), after(0s)), "the record of the peers to be taken");
        story.check(!local.mergeStoredRecord(recordOf(100, EndpointState::Gone), after(0s)), "nothing to be written");
        story.check(local.record()->state == EndpointState::Gone, "the stored state to be taken");
        story.check(!local.mergePeerRecord(recordOf(100, EndpointState::Draining), after(1s)), "later answers to change nothing");
    });
    story.section("the endpoint has restarted", [&] {
        auto local = localEndpoint();
        story.check(local.applyHeartbeat(heartbeat(200, 1), after(0s)) == UpdateResult::Changed, "its heartbeat to count");
        story.check(!local.mergePeerRecord(recordOf(100, EndpointState::Gone), after(0s)), "the earlier incarnation to be ignored");
        local.setWitnesses(2);
        story.check(local.mergeStoredRecord(recordOf(100, EndpointState::Ready), after(0s)), "its record to be written");
        story.check(local.acceptsRequests(), "requests to be accepted");
    });
    story.section("the record is of another service", [&] {
        auto local = localEndpoint();
        auto record = recordOf(300, EndpointState::Gone);
        record.service = "commesse";
        story.check(!local.mergePeerRecord(record, after(0s)), "it to be ignored");
    });
}

Test(discovery, the_directory_ignores_older_revisions)
{
    tests::Story story;
    discovery::Directory directory;
    story.check(directory.put(recordOf(100, EndpointState::Ready), {1, 5}, after(0s)), "a new record to be added");
    auto older = recordOf(100, EndpointState::Ready);
    older.slots = 3;
    story.check(!directory.put(older, {1, 4}, after(0s)), "an older revision to be ignored");
    story.equal(directory.find(older.node)->record.slots, 10, "the newer revision to stay");
    story.check(!directory.put(recordOf(99, EndpointState::Draining), {1, 4}, after(0s)), "one of an earlier incarnation, too");
    story.equal(directory.readyEndpoints("motivi").size(), 1U, "the endpoint to be ready");
    story.check(directory.put(recordOf(100, EndpointState::Draining), {1, 6}, after(0s)), "a newer revision to replace the record");
    story.equal(directory.readyEndpoints("motivi").size(), 0U, "no ready endpoint while it drains");
    story.check(directory.remove("10.0.0.1:8300", {1, 7}), "the node to be removed");
    story.check(!directory.put(recordOf(100, EndpointState::Ready), {1, 6}, after(0s)), "a revision older than the deletion to be ignored");
    story.check(directory.put(recordOf(200, EndpointState::Ready), {1, 9}, after(0s)), "a revision newer than the deletion to be added");
    directory.retain({}, {1, 8});
    story.equal(directory.readyEndpoints("motivi").size(), 1U, "an empty list that was begun before the record to keep it");
    directory.retain({}, {1, 10});
    story.equal(directory.readyEndpoints("motivi").size(), 0U, "an empty list that was begun after the record to remove it");
}

// Guards against records written after a restore that are dropped since their revisions are smaller than those known before it, and
// against a restored or a late record that undoes a departure.
Test(discovery, the_directory_orders_records_of_two_eras)
{
    tests::Story story;
    const std::string node = "10.0.0.1:8300";
    const std::unordered_set<std::string> listed {node};
    const auto stateOf = [&](const discovery::Directory &directory) { return directory.find(node)->record.state; };
    story.section("the owner writes after the restore", [&] {
        discovery::Directory directory;
        directory.put(recordOf(100, EndpointState::Draining), {1, 18}, after(0s));
        story.check(directory.put(recordOf(100, EndpointState::Gone), {2, 17}, after(1s)), "a smaller revision of the next era to count");
        story.check(!directory.put(recordOf(100, EndpointState::Draining), {1, 18}, after(2s)),
                    "the earlier era, from a node that has not noticed, to be ignored");
        story.check(directory.put(recordOf(200, EndpointState::Ready), {2, 19}, after(3s)), "the next incarnation to count");
    });
    story.section("the restored store has the record of before the departure", [&] {
        discovery::Directory directory;
        directory.put(recordOf(100, EndpointState::Draining), {1, 18}, after(0s));
        story.check(!directory.put(recordOf(100, EndpointState::Ready), {2, 5}, after(1s)), "it to be ignored");
        story.equal(directory.readyEndpoints("motivi").size(), 0U, "the endpoint not to be ready");
        directory.retain(listed, {2, 6});
        story.check(directory.removeBefore(2).empty(), "the departure to be kept");
        story.check(!directory.put(recordOf(100, EndpointState::Silent), {2, 7}, after(1s)), "it not to become silent");
        story.check(directory.put(recordOf(100, EndpointState::Draining), {2, 8}, after(2s))
                        || stateOf(directory) == EndpointState::Draining,
                    "the record that its owner writes again to be taken");
        story.check(directory.put(recordOf(100, EndpointState::Gone), {2, 9}, after(2s)), "its later changes to count");
    });
    story.section("the restored store has an earlier incarnation", [&] {
        discovery::Directory directory;
        directory.put(recordOf(200, EndpointState::Ready, "i-2"), {1, 18}, after(0s));
        story.check(!directory.put(recordOf(100, EndpointState::Draining), {2, 5}, after(1s)), "it to be ignored");
        story.equal(directory.readyEndpoints("motivi").size(), 1U, "the later incarnation to stay ready");
    });
    story.section("a node of the earlier era knows a later incarnation", [&] {
        discovery::Directory directory;
        directory.put(recordOf(100, EndpointState::Ready), {2, 5}, after(0s));
        directory.retain(listed, {2, 6});
        story.check(directory.put(recordOf(200, EndpointState::Ready, "i-2"), {1, 18}, after(1s)), "it to be taken");
        story.check(directory.put(recordOf(200, EndpointState::Draining, "i-2"), {1, 19}, after(1s)), "its departure to be taken");
    });
    story.section("the restored store lacks the record", [&] {
        discovery::Directory directory;
        directory.put(recordOf(100, EndpointState::Ready), {1, 18}, after(0s));
        directory.retain({}, {2, 6});
        story.equal(directory.readyEndpoints("motivi").size(), 1U, "the endpoint to stay until its node could write the record again");
        story.equal(directory.countBefore(2), 1U, "its record to count as lost");
        story.check(directory.removeBefore(2, node).empty(), "the node itself to keep its own endpoint");
        story.equal(directory.removeBefore(2).size(), 1U, "it to be removed afterwards");
        story.equal(directory.readyEndpoints("motivi").size(), 0U, "no ready endpoint");
        story.check(!directory.put(recordOf(100, EndpointState::Ready), {1, 18}, after(5s)),
                    "a node of the earlier era not to bring it back");
        story.check(directory.put(recordOf(100, EndpointState::Ready), {2, 7}, after(6s)), "a late write of its node to bring it back");
    });
    story.section("the restored store has the same record", [&] {
        discovery::Directory directory;
        directory.put(recordOf(100, EndpointState::Ready), {1, 4}, after(0s));
        story.check(!directory.put(recordOf(100, EndpointState::Ready), {2, 4}, after(1s)), "nothing to change");
        story.equal(directory.countBefore(2), 0U, "the record to be confirmed");
    });
    story.section("a write of before the departure takes effect late", [&] {
        discovery::Directory directory;
        directory.put(recordOf(100, EndpointState::Draining), {1, 18}, after(0s));
        story.check(!directory.put(recordOf(100, EndpointState::Ready), {1, 20}, after(1s)), "it to be ignored");
    });
}

// Guards against a departure that is forgotten because the store, or a node that has it from there, still shows the endpoint as ready.
Test(discovery, departures_that_nodes_tell_hold_whatever_the_store_shows)
{
    tests::Story story;
    const auto stored = recordOf(100, EndpointState::Ready);
    const auto stateIn = [&](const discovery::Directory &directory) { return directory.find(stored.node)->record.state; };
    story.section("a departure is told", [&] {
        discovery::Directory directory;
        story.check(!directory.applyTold(recordOf(100, EndpointState::Gone)), "the departure of an unknown node not to be confirmed");
        directory.put(stored, {1, 10}, after(0s));
        story.check(directory.applyTold(recordOf(100, EndpointState::Draining)), "it to be confirmed");
        story.check(directory.readyEndpoints("motivi").empty(), "the endpoint not to be chosen any more");
        story.check(directory.applyTold(recordOf(100, EndpointState::Gone)), "the next state to be confirmed");
        story.check(directory.applyTold(recordOf(100, EndpointState::Draining)), "a late one of the state before, too");
        directory.put(stored, {1, 20}, after(1s));
        directory.put(stored, {2, 1}, after(1s));
        story.equal(stateIn(directory), EndpointState::Gone, "the departure to hold");
    });
    story.section("a node that was not told hears it from one that was", [&] {
        discovery::Directory directory;
        directory.put(stored, {1, 10}, after(0s));
        story.check(directory.put(recordOf(100, EndpointState::Gone), {1, 10}, after(1s)), "it to count at the same position");
        directory.put(stored, {1, 20}, after(1s));
        story.equal(stateIn(directory), EndpointState::Gone, "the departure to hold");
    });
    story.section("the incarnation that leaves was never stored", [&] {
        discovery::Directory directory;
        directory.put(stored, {1, 10}, after(0s));
        story.check(directory.applyTold(recordOf(200, EndpointState::Gone)), "it to be confirmed");
        directory.put(stored, {1, 11}, after(1s));
        story.equal(directory.find(stored.node)->record.incarnation, 200, "it to be known instead of the stored one");
        directory.put(recordOf(300, EndpointState::Ready), {1, 12}, after(2s));
        story.equal(stateIn(directory), EndpointState::Ready, "the next incarnation to count");
    });
    story.section("another incarnation than that of the record leaves", [&] {
        discovery::Directory directory;
        directory.put(stored, {1, 10}, after(0s));
        auto told = stored;
        told.departed.add({"i-2", 200});
        story.check(directory.applyTold(told), "it to be confirmed");
        story.equal(stateIn(directory), EndpointState::Ready, "the endpoint of the record to stay in service");
        story.check(directory.find(stored.node)->record.departed == told.departed, "the departure to be kept beside it");
        story.check(directory.applyTold(stored), "a late record without it to be confirmed");
        story.check(directory.find(stored.node)->record.departed == told.departed, "the departure to hold");
    });
}

// Guards against departures that push each other out of a record that keeps few of them.
Test(discovery, records_keep_the_latest_departures)
{
    tests::Story story;
    discovery::DepartureList list;
    for (int number = 1; number < 10; ++number) {
        list.add({"i-" + std::to_string(number), 10 * number});
    }
    story.equal(list.departures().size(), discovery::DepartureList::capacity, "a bounded number to be kept");
    story.check(list.contains("i-9", 90) && list.contains("i-6", 60) && !list.contains("i-5", 50), "the latest ones to be kept");
    story.check(!list.contains("i-9", 89) && list.containsLater("i-9", 89), "an incarnation that started before not to count as departed");
    const auto before = list;
    discovery::DepartureList older;
    older.add({"i-20", 300});
    list.merge(older);
    story.check(list == before, "those of an older list to be added only while there is room");
    list.add({"i-9", 90, true});
    story.check(list.contains("i-9", 89) && list.departures().size() == before.departures().size(), "a departure to include earlier ones");
    story.section("a list with room", [&] {
        discovery::DepartureList newer;
        newer.add({"i-1", 10});
        newer.merge(older);
        story.check(newer.containsId("i-20") && newer.departures().back().id == "i-1", "the older one to be added as such");
    });
}

// Guards against a departure that any order of lists, late writes and snapshots of several eras undoes.
Test(discovery, no_order_of_records_undoes_a_departure)
{
    tests::holds("an incarnation that has left never becomes ready again", [] {
        core::Random random(*rc::gen::arbitrary<std::uint32_t>());
        const auto draw = [&random](std::uint64_t low, std::uint64_t high) { return low + random() % (high - low + 1); };
        discovery::Directory directory;
        std::int64_t departed = 0;
        for (int step = 0; step < 40; ++step) {
            const store::Position position {draw(1, 3), draw(1, 30)};
            const auto state = static_cast<EndpointState>(draw(0, static_cast<std::uint64_t>(EndpointState::Silent)));
            directory.put(recordOf(static_cast<std::int64_t>(draw(1, 3)), state), position, after(std::chrono::seconds(step)));
            directory.removeBefore(draw(1, 3));
            const auto *known = directory.find("10.0.0.1:8300");
            if (known != nullptr && discovery::isFinal(known->record.state)) {
                departed = known->record.incarnation;
            }
            const bool isReadyAgain = known != nullptr && known->record.incarnation == departed && !discovery::isFinal(known->record.state);
            RC_ASSERT(!isReadyAgain);
        }
    });
}

Test(discovery, valid_records_are_decoded_and_others_rejected)
{
    tests::holds("a decoded record equals the encoded one", [] {
        discovery::EndpointRecord record;
        record.node = "10.0.0.1:8300";
        record.id = "i-" + *rc::gen::string<std::string>();
        record.service = "s" + *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        record.slots = *rc::gen::inRange(0, 1000);
        record.state = *rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Gone, EndpointState::Silent);
        record.incarnation = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000);
        record.startedMs = *rc::gen::inRange<std::int64_t>(0, record.incarnation + 1);
        for (auto count = *rc::gen::inRange<std::size_t>(0, discovery::DepartureList::capacity + 1); count > 0; --count) {
            record.departed.add({"x-" + *rc::gen::string<std::string>(), *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000),
                                 *rc::gen::arbitrary<bool>()});
        }
        const auto text = discovery::encode(record);
        const auto decoded = discovery::decodeEndpointRecord(text);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->state == record.state && decoded->slots == record.slots && decoded->incarnation == record.incarnation);
        RC_ASSERT(decoded->startedMs == record.startedMs && decoded->departed.departures().size() == record.departed.departures().size());
    });
    tests::holds("truncated records and records with mistyped fields are rejected", [] {
        const auto text = discovery::encode(recordOf(1, EndpointState::Ready));
        const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
        RC_ASSERT(!discovery::decodeEndpointRecord(text.substr(0, length)));
        RC_ASSERT(!discovery::decodeEndpointRecord(R"({"node":1,"id":[],"service":{}})"));
        const auto departed = *rc::gen::element<std::string>(R"({})", R"([1])", R"([{"id":"x","includes_earlier":true}])",
                                                             R"([{"id":"","started_ms":1,"includes_earlier":true}])",
                                                             R"([{"id":"x","started_ms":-1,"includes_earlier":true}])",
                                                             R"([{"id":"x","started_ms":1,"includes_earlier":1}])", "[{},{},{},{},{}]");
        RC_ASSERT(!discovery::decodeEndpointRecord(text.substr(0, text.size() - 1) + R"(,"departed":)" + departed + "}"));
    });
}

Test(discovery, few_nodes_of_a_zone_are_selected_to_watch_the_store)
{
    tests::Story story;
    const auto makeDirectory = [](int size) {
        discovery::Directory directory;
        for (int number = 0; number < size; ++number) {
            discovery::EndpointRecord record;
            record.node = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80";
            record.id = "i-" + std::to_string(number);
            record.service = "motivi";
            record.zone = number % 2 == 0 ? "mineo" : "vizzini";
            record.incarnation = 1;
            directory.put(record, {1, static_cast<std::uint64_t>(number) + 1}, core::TimePoint {} + 1h);
        }
        return directory;
    };
    story.check(discovery::selectWatchers(makeDirectory(0), "mineo", "x").empty(), "no watcher in an empty zone");
    story.equal(discovery::selectWatchers(makeDirectory(16), "mineo", "x").size(), 1U, "one watcher in a zone of 8 nodes");
    story.equal(discovery::selectWatchers(makeDirectory(1300), "mineo", "x").size(), 11U, "eleven watchers in a zone of 650 nodes");
    const auto directory = makeDirectory(400);
    auto first = discovery::selectWatchers(directory, "mineo", "10.0.0.2:80");
    auto second = discovery::selectWatchers(directory, "mineo", "10.0.0.4:80");
    std::sort(first.begin(), first.end());
    std::sort(second.begin(), second.end());
    story.check(first == second, "the same watchers for every requester");
    story.section("a watcher that drains", [&] {
        auto changed = directory;
        auto record = changed.find(first.front())->record;
        record.state = discovery::EndpointState::Draining;
        changed.put(record, {1, 10'000}, core::TimePoint {} + 2h);
        const auto after = discovery::selectWatchers(changed, "mineo", "10.0.0.2:80");
        story.check(std::find(after.begin(), after.end(), first.front()) == after.end(), "the draining node not to be a watcher");
        story.equal(after.size(), first.size(), "another node to replace the draining watcher");
    });
}

// Guards against two nodes that wait for each other's changes, as their directories differ while a fleet starts.
Test(discovery, nodes_request_changes_only_from_nodes_of_a_higher_score)
{
    tests::Story story;
    const auto makeDirectory = [](const std::vector<int> &numbers) {
        discovery::Directory directory;
        std::uint64_t revision = 0;
        for (const int number : numbers) {
            discovery::EndpointRecord record;
            record.node = "10.0.0." + std::to_string(number) + ":80";
            record.id = "i-" + std::to_string(number);
            record.service = "motivi";
            record.zone = "mineo";
            record.incarnation = 1;
            directory.put(record, {1, ++revision}, core::TimePoint {} + 1h);
        }
        return directory;
    };
    const auto nodeOf = [](int number) { return "10.0.0." + std::to_string(number) + ":80"; };
    story.section("a node that knows only itself", [&] {
        story.check(discovery::selectSources(makeDirectory({3}), "mineo", nodeOf(3), true).empty(), "the store to be read");
    });
    story.section("a node that has no endpoint yet", [&] {
        story.equal(discovery::selectSources(makeDirectory({3}), "mineo", nodeOf(1), false).size(), 1U, "any other node to be asked");
        story.equal(discovery::selectSources(makeDirectory({1}), "mineo", nodeOf(3), false).size(), 1U, "any other node to be asked");
    });
    story.section("a zone whose nodes know each other", [&] {
        const auto directory = makeDirectory({1, 2, 3, 4, 5, 6, 7, 8});
        const auto watcher = discovery::selectWatchers(directory, "mineo", "x").front();
        int readers = 0;
        for (int number = 1; number <= 8; ++number) {
            const auto sources = discovery::selectSources(directory, "mineo", nodeOf(number), true);
            readers += sources.empty() ? 1 : 0;
            story.check(sources.empty() || sources.front() == watcher, "the watcher to be asked first");
            story.check(sources.size() <= 2, "one more node to be asked at most");
        }
        story.equal(readers, 1, "only the watcher to read the store");
    });
    tests::holds("no two nodes ask each other, whatever part of the zone they know", [&] {
        const auto known = [] {
            std::vector<int> numbers;
            for (int number = 1; number < 12; ++number) {
                if (*rc::gen::arbitrary<bool>()) {
                    numbers.push_back(number);
                }
            }
            return numbers;
        };
        const auto own = *rc::gen::inRange(1, 12);
        const auto other = *rc::gen::inRange(1, 12);
        // Whoever another node knows has announced itself.
        const auto ownKnown = known();
        const auto otherKnown = known();
        const auto isKnown = [](const std::vector<int> &numbers, int number) {
            return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
        };
        const auto sources = discovery::selectSources(makeDirectory(ownKnown), "mineo", nodeOf(own), isKnown(otherKnown, own));
        const auto otherSources = discovery::selectSources(makeDirectory(otherKnown), "mineo", nodeOf(other), isKnown(ownKnown, other));
        const auto contains = [](const auto &list, const std::string &node) {
            return std::find(list.begin(), list.end(), node) != list.end();
        };
        RC_ASSERT(!contains(sources, nodeOf(own)));
        RC_ASSERT(!(contains(sources, nodeOf(other)) && contains(otherSources, nodeOf(own))));
    });
}
