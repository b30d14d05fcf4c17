// An endpoint leaves while the store is down, and its node is killed. Two of its earlier heartbeats arrive late.
#include "stage-3.h"

#include <array>

using namespace stage;

namespace
{
constexpr double drainS = 2;
constexpr double stabilityWindowS = 3;
constexpr double outageS = 4.5;
constexpr int requests = 24; // at once, when everything is calm again

void post(Endpoint &endpoint, const std::string &path, const std::string &body, const char *what)
{
    const bool isAcked = endpoint.post(path, body);
    record.line("endpoint %s: %s %s", endpoint.id.c_str(), what, isAcked ? "acknowledged" : "not acknowledged");
}
} // namespace

int main(int count, char **arguments)
{
    prepare(count, arguments);
    auto &store = *new Store(freeAddress("127.0.7.1"));
    std::vector<std::unique_ptr<Machine>> machines;
    machines.push_back(std::make_unique<Machine>(11, "east", "motivi"));
    machines.push_back(std::make_unique<Machine>(12, "east", "motivi"));
    machines.push_back(std::make_unique<Machine>(13, "east", "commesse"));
    machines.push_back(std::make_unique<Machine>(14, "west", "commesse"));
    std::vector<std::unique_ptr<Node>> nodes;
    for (const auto &machine : machines) {
        nodes.push_back(std::make_unique<Node>(*machine, store.address()));
        nodes.back()->start();
    }
    const json paths =
        json::array({route("motifs", "/motifs/", "safe", "motivi", 5), route("orders", "/orders/", "unsafe", "commesse", 5)});
    store.write("config", "main",
                {{"Version", 7},
                 {"Services", {service("motivi"), service("commesse")}},
                 {"Limits", siteLimits()},
                 {"VirtualHosts", json::array({json {{"Host", "shop.example"}, {"Paths", paths}}})}});
    const auto work = [](Endpoint &endpoint, const Message &request, Connection &connection) {
        endpoint.arrived(request, true);
        sleepFor(0.3);
        connection.write(format(200, endpoint.answerHeaders(request), "motif"));
    };
    std::vector<Endpoint *> endpoints;
    for (const auto &machine : machines) {
        endpoints.push_back(new Endpoint(*machine, "i-" + machine->name, 100, work));
    }
    waitUntilServing(nodes, store, machines.size());

    auto &leaving = *endpoints[0];
    auto &node = *nodes[0];
    // Two heartbeats are on their way when the endpoint deregisters.
    leaving.isStopped = true;
    const int late = leaving.sequence;
    sleepFor(1.5);
    const double outageAt = now();
    if (isTrouble()) {
        store.isDown = true;
        record.line("store down");
    }
    sleepFor(0.3);
    const auto lateHeartbeats = std::array {leaving.heartbeat(late + 1), leaving.heartbeat(late + 2)};
    leaving.isLeaving = true; // its health check fails from now on
    post(leaving, "/v1/Instances.Deregister/" + leaving.id, "", "deregistration");
    const double ackedAt = now();
    double nodeStartedAt = 0;
    if (isTrouble()) {
        sleepFor(0.3);
        node.kill(SIGKILL);
        node.wait();
        record.line("%s killed", node.machine.name.c_str());
        sleepFor(0.3);
        node.start();
        nodeStartedAt = now();
    }
    sleepUntil(ackedAt + 1.6);
    post(leaving, leaving.heartbeatPath(), lateHeartbeats[0], "late heartbeat");
    sleepUntil(ackedAt + 2.9);
    post(leaving, leaving.heartbeatPath(), lateHeartbeats[1], "late heartbeat");
    sleepUntil(outageAt + outageS);
    store.isDown = false;
    const double storeUpAt = now();
    record.line("store up");

    // DRAIN: judged once the store is stable again and the machine is in touch again.
    const double judgedFrom = std::max({ackedAt + drainS, nodeStartedAt + stabilityWindowS, storeUpAt + stabilityWindowS});
    sleepUntil(judgedFrom + 0.3);
    record.line("%d requests at once", requests);
    std::atomic<int> served {0};
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < requests; ++number) {
        clients.emplace_back([&served, entrance = machines[number % machines.size()]->outbound] {
            Connection connection;
            if (connection.open(entrance)) {
                connection.write(formatRequest("GET", "shop.example", "/motifs/1", requestId(), 5000));
                const auto answer = connection.read(now() + 5.5);
                served += answer && answer->status() == 200 ? 1 : 0;
            }
        });
    }
    for (auto &client : clients) {
        client.join();
    }
    int reached = 0;
    for (const auto &arrival : leaving.allArrivals()) {
        reached += arrival.at > judgedFrom ? 1 : 0;
    }
    char text[200];
    std::snprintf(text, sizeof text, "%d of %d requests reached the endpoint %.1f s after its leaving was acknowledged (DRAIN); %d served",
                  reached, requests, judgedFrom + 0.3 - ackedAt, served.load());
    finish(reached > 0 ? 1 : 0, text);
}
