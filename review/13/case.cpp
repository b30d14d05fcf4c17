// A client sends one large request body, within the operator's MaxBodyBytes, to a machine of the smallest memory. The platform ends a
// process that exceeds its memory and starts it again after a short delay.
#include "stage-3.h"

using namespace stage;

namespace
{
constexpr int clients = 12;
constexpr double workS = 0.6;
constexpr long memoryMb = 160;
constexpr std::size_t largeBytes = 40'000'000; // MaxBodyBytes is 67,108,864
constexpr std::size_t smallBytes = 1'000;
constexpr double bytesPerSecond = 25e6; // a link of 200 Mbit/s

/// Returns the resident memory of a process in MB, of 1,000,000 bytes.
long residentMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::atol(line.c_str() + 6) * 1024 / 1'000'000;
        }
    }
    return 0;
}
} // namespace

int main(int count, char **arguments)
{
    prepare(count, arguments);
    auto &store = *new Store(freeAddress("127.0.7.1"));
    std::vector<std::unique_ptr<Machine>> machines;
    machines.push_back(std::make_unique<Machine>(11, "east", "motivi"));
    machines.push_back(std::make_unique<Machine>(12, "east", "commesse"));
    machines.push_back(std::make_unique<Machine>(13, "west", "commesse"));
    std::vector<std::unique_ptr<Node>> nodes;
    for (const auto &machine : machines) {
        nodes.push_back(std::make_unique<Node>(*machine, store.address()));
        nodes.back()->start();
    }
    const json paths =
        json::array({route("orders", "/orders/", "unsafe", "commesse", 5), route("motifs", "/motifs/", "safe", "motivi", 5)});
    store.write("config", "main",
                {{"Version", 7},
                 {"Services", {service("motivi"), service("commesse")}},
                 {"Limits", siteLimits()},
                 {"VirtualHosts", json::array({json {{"Host", "shop.example"}, {"Paths", paths}}})}});
    const auto work = [](Endpoint &endpoint, const Message &request, Connection &connection) {
        endpoint.arrived(request, true);
        sleepFor(workS);
        connection.write(format(200, endpoint.answerHeaders(request), "lodged"));
    };
    std::vector<Endpoint *> endpoints;
    for (const auto &machine : machines) {
        endpoints.push_back(new Endpoint(*machine, "i-" + machine->name, 100, work));
    }
    waitUntilServing(nodes, store, machines.size());

    auto &node = *nodes[1];
    std::atomic<bool> isOver {false};
    std::atomic<int> kills {0};
    std::atomic<long> peakMb {0};
    std::thread platform([&] {
        while (!isOver) {
            const long used = residentMb(node.pid);
            peakMb = std::max(peakMb.load(), used);
            if (used > memoryMb) {
                node.kill(SIGKILL);
                node.wait();
                ++kills;
                record.line("platform: %s has %ld MB, more than %ld, and is ended", node.machine.name.c_str(), used, memoryMb);
                sleepFor(0.3);
                node.start();
            }
            sleepFor(0.002);
        }
    });

    std::mutex mutex;
    std::vector<std::string> unanswered; // requests on a kept connection that was closed without an answer
    std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&] {
            Connection connection;
            bool isKept = false;
            while (!isOver) {
                if (!connection.isOpen()) {
                    isKept = false;
                    if (!connection.open(machines[1]->outbound)) {
                        sleepFor(0.1);
                        continue;
                    }
                }
                const auto id = requestId();
                const bool isSent = connection.write(formatRequest("POST", "shop.example", "/orders/1", id, 5000, "order"));
                const auto answer = connection.read(now() + 6);
                if (answer) {
                    ++answered;
                    isKept = lower(find(answer->headers, "Connection")) != "close";
                    if (!isKept) {
                        connection.close();
                    }
                    continue;
                }
                connection.close();
                if (isSent && isKept) {
                    record.line("client %s: connection closed, no answer", id.c_str());
                    const std::lock_guard lock(mutex);
                    unanswered.push_back(id);
                }
            }
        });
    }
    sleepFor(4);
    const std::string body(isTrouble() ? largeBytes : smallBytes, 'o');
    Connection connection;
    if (!connection.open(machines[1]->outbound)) {
        finish(2, "the client of the large request could not connect");
    }
    const auto id = requestId();
    record.line("client sends %s with %zu bytes", id.c_str(), body.size());
    const auto text = formatRequest("POST", "shop.example", "/orders/2", id, 5000, body);
    const double startedAt = now();
    constexpr std::size_t piece = 250'000;
    bool isSent = true;
    for (std::size_t at = 0; at < text.size() && isSent; at += piece) {
        sleepUntil(startedAt + static_cast<double>(at) / bytesPerSecond);
        isSent = connection.write(std::string_view(text).substr(at, piece));
    }
    const auto answer = connection.read(now() + 5);
    record.line("client %s: %s", id.c_str(), answer ? std::to_string(answer->status()).c_str() : "connection closed, no answer");
    sleepFor(3);
    isOver = true;
    for (auto &thread : threads) {
        thread.join();
    }
    platform.join();
    // LOST, at any time: passed on from a kept connection to a sound endpoint, and that connection closed without an answer, more than
    // three times. A process that ends by itself counts as running all the while.
    int lost = 0;
    for (const auto &request : unanswered) {
        for (auto *endpoint : endpoints) {
            for (const auto &arrival : endpoint->allArrivals()) {
                lost += arrival.id == request ? 1 : 0;
            }
        }
    }
    finish(lost > 3 ? 1 : 0,
           "the node was ended " + std::to_string(kills) + " times, its peak was " + std::to_string(peakMb) + " MB of "
               + std::to_string(memoryMb) + "; " + std::to_string(lost)
               + " orders that were passed on from kept connections ended without an answer (LOST), " + std::to_string(answered)
               + " answered");
}
