#include "harness.h"

#include <csignal>
#include <cstdio>
#include <filesystem>

using namespace review;

// Another writer sends one incomplete ping to each node of a service, while all nodes start again after the final fault.
namespace
{
constexpr Milliseconds downTime {800};
constexpr Milliseconds recoveryTime {15000}; // RecoveryS
constexpr int requests = 40;
const std::string host = "motifs.example";

int serveAll(Record &record, const Vm &entry, const std::string &name, const std::string &answer)
{
    int served = 0;
    for (int at = 0; at < requests; ++at) {
        const auto id = name + "-" + std::to_string(at);
        const auto response = callOnce(entry.entrance, "GET", host, "/motif/" + id, id, Milliseconds(5000));
        const bool isServed = response.status == 200 && response.isComplete && response.body == answer;
        served += isServed ? 1 : 0;
        record.line("client: " + id + " status " + std::to_string(response.status) + (isServed ? ", served" : ", not served: ")
                    + (isServed ? std::string() : findHeader(response.headers, "Figpulley-Kind")));
    }
    return served;
}

void sendOddPing(Record &record, const Vm &vm, const std::string &id)
{
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    // The fields Zone, Version and ColdRemainingS are missing.
    const nlohmann::json body {
        {"Service", vm.service}, {"Address", "127.0.0.1:9"}, {"Slots", 1}, {"State", "ready"}, {"Seq", 1}, {"born", now}};
    const auto response = callOnce(vm.control, "POST", "node", "/v1/Instances.Heartbeat/" + id, "odd", Milliseconds(1000), body.dump());
    record.line("other writer: ping " + id + " " + body.dump() + " answered " + std::to_string(response.status));
}
} // namespace

int main()
{
    const auto folder = makeFolder();
    Record record("review/5/record.txt");
    Store store(record);
    const auto entry = makeVm("entry", "commesse");
    const auto first = makeVm("motifs-1", "motivi");
    const auto second = makeVm("motifs-2", "motivi");
    store.write("config", "main", makeConfig(1, {{host, "/motif/", "safe", "motivi"}}));
    const auto answer = makeBody(1500);
    const auto serve = [&](Stream &stream, const Request &request) { return answerWhole(stream, request, answer); };
    Endpoint entryEndpoint(record, entry, "i-entry", serve);
    Endpoint firstEndpoint(record, first, "i-motifs-1", serve);
    Endpoint secondEndpoint(record, second, "i-motifs-2", serve);
    NodeProcess entryNode(record, folder, entry, store.port());
    NodeProcess firstNode(record, folder, first, store.port());
    NodeProcess secondNode(record, folder, second, store.port());
    const auto nodes = {&entryNode, &firstNode, &secondNode};
    const auto areReady = [&] { return isReady(entry) && isReady(first) && isReady(second); };
    for (auto *node : nodes) {
        node->start();
    }
    if (!waitUntil(Milliseconds(10000), areReady)) {
        std::puts("the nodes did not become ready");
        return CannotRun;
    }
    for (auto *endpoint : {&entryEndpoint, &firstEndpoint, &secondEndpoint}) {
        endpoint->startHeartbeats();
    }
    if (!waitUntil(Milliseconds(10000), [&] { return store.list("figpulley-endpoints").size() == 3; })) {
        std::puts("the endpoints were not registered");
        return CannotRun;
    }
    std::this_thread::sleep_for(Milliseconds(4000));
    const auto servedBefore = serveAll(record, entry, "before", answer);
    for (auto *node : nodes) {
        node->signal(SIGKILL);
    }
    std::this_thread::sleep_for(downTime);
    for (auto *node : nodes) {
        node->start();
    }
    if (!waitUntil(Milliseconds(10000), areReady)) {
        std::puts("the nodes did not become ready again");
        return CannotRun;
    }
    if (withTrouble()) {
        sendOddPing(record, first, "x-1");
        sendOddPing(record, second, "x-2");
    }
    std::this_thread::sleep_for(recoveryTime);
    const auto servedAfter = serveAll(record, entry, "after", answer);
    for (const auto &spec : store.list("figpulley-endpoints")) {
        record.line("store: " + spec.dump());
    }
    record.line("result: served " + std::to_string(servedBefore) + " before the final fault and " + std::to_string(servedAfter)
                + " after the time for recovery, of " + std::to_string(requests) + " each");
    std::printf("RECOVER: served %d of %d before the final fault, %d of %d after RecoveryS\n", servedBefore, requests, servedAfter,
                requests);
    std::filesystem::remove_all(folder);
    if (servedBefore * 4 < requests) {
        return CannotRun;
    }
    return servedAfter * 4 < requests ? Broken : Held;
}
