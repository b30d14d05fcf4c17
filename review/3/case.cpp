#include "harness.h"

#include <csignal>
#include <cstdio>
#include <filesystem>

using namespace review;

// An endpoint's deregistration is acknowledged while the store is down, and the node that acknowledged it is restarted as planned.
namespace
{
constexpr Milliseconds outage {8000};
constexpr Milliseconds stabilityWindow {3000};
constexpr Milliseconds workTime {120};
constexpr int requests = 20;
const std::string host = "commissions.example";
} // namespace

int main()
{
    const auto folder = makeFolder();
    Record record("review/3/record.txt");
    Store store(record);
    const auto entry = makeVm("entry", "motivi");
    const auto leaving = makeVm("leaving", "commesse");
    const auto staying = makeVm("staying", "commesse");
    store.write("config", "main", makeConfig(1, {{host, "/lodge/", "unsafe", "commesse"}}));
    const auto answer = makeBody(2000);
    std::atomic<int> runsOfLeaving = 0;
    std::atomic<bool> isLeaving = false;
    const auto serve = [&](Stream &stream, const Request &request) {
        std::this_thread::sleep_for(workTime);
        return answerWhole(stream, request, answer);
    };
    Endpoint entryEndpoint(record, entry, "i-entry", serve);
    Endpoint leavingEndpoint(record, leaving, "i-leaving", [&](Stream &stream, const Request &request) {
        ++runsOfLeaving;
        std::this_thread::sleep_for(workTime);
        return answerWhole(stream, request, answer, isLeaving ? "Server-Leaving: 1" : "");
    });
    Endpoint stayingEndpoint(record, staying, "i-staying", serve);
    NodeProcess entryNode(record, folder, entry, store.port());
    NodeProcess leavingNode(record, folder, leaving, store.port());
    NodeProcess stayingNode(record, folder, staying, store.port());
    for (auto *node : {&entryNode, &leavingNode, &stayingNode}) {
        node->start();
    }
    if (!waitUntil(Milliseconds(10000), [&] { return isReady(entry) && isReady(leaving) && isReady(staying); })) {
        std::puts("the nodes did not become ready");
        return CannotRun;
    }
    for (auto *endpoint : {&entryEndpoint, &leavingEndpoint, &stayingEndpoint}) {
        endpoint->startHeartbeats();
    }
    if (!waitUntil(Milliseconds(10000), [&] { return store.list("figpulley-endpoints").size() == 3; })) {
        std::puts("the endpoints were not registered");
        return CannotRun;
    }
    std::this_thread::sleep_for(stabilityWindow + Milliseconds(1000));
    const auto down = Clock::now();
    if (withTrouble()) {
        store.setDown(true);
    }
    std::this_thread::sleep_for(Milliseconds(300));
    leavingEndpoint.stopHeartbeats();
    isLeaving = true; // from here on the endpoint says in all its answers that it is leaving
    if (!leavingEndpoint.deregister()) {
        std::puts("the deregistration was not acknowledged");
        return CannotRun;
    }
    const auto acknowledged = Clock::now();
    leavingNode.signal(SIGTERM);
    if (!leavingNode.waitForEnd(Milliseconds(7000))) {
        std::puts("the node did not end");
        return CannotRun;
    }
    std::this_thread::sleep_for(Milliseconds(300));
    leavingNode.start();
    std::this_thread::sleep_until(down + outage);
    if (withTrouble()) {
        store.setDown(false);
    }
    if (!waitUntil(Milliseconds(10000), [&] { return isReady(leaving); })) {
        std::puts("the node did not become ready again");
        return CannotRun;
    }
    std::this_thread::sleep_for(stabilityWindow + Milliseconds(500)); // from here on all machines are in touch again
    const auto before = runsOfLeaving.load();
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    for (int at = 0; at < requests; ++at) {
        clients.emplace_back([&, at] {
            const auto id = "request-" + std::to_string(at);
            const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now() - acknowledged).count();
            const auto response =
                callOnce(entry.entrance, "POST", host, "/lodge/" + std::to_string(at), id, Milliseconds(5000), "commission");
            served += response.status == 200 && response.isComplete ? 1 : 0;
            record.line("client: " + id + " sent " + std::to_string(since) + " ms after the acknowledgement, status "
                        + std::to_string(response.status));
        });
    }
    for (auto &client : clients) {
        client.join();
    }
    const auto late = runsOfLeaving.load() - before;
    record.line("store: " + store.read("figpulley-endpoints", "127.0.0.1-" + std::to_string(leaving.ingress)).dump());
    record.line("result: " + std::to_string(late) + " of " + std::to_string(requests) + " requests reached the endpoint that has left");
    std::printf("DRAIN: %d of %d requests reached the endpoint whose deregistration was acknowledged; %d served\n", late, requests,
                served.load());
    std::filesystem::remove_all(folder);
    if (late > 0) {
        return Broken;
    }
    return served == requests ? Held : CannotRun;
}
