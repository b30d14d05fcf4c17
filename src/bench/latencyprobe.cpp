#include "bench/latencyprobe.h"

#include "bench/percentile.h"
#include "net/httpclient.h"
#include "net/loopthread.h"

#include <chrono>
#include <future>
#include <thread>

#include <fmt/format.h>

namespace figpulley::bench
{
namespace
{
using namespace std::chrono_literals;

constexpr int warmUpCalls = 100;
constexpr int measuredCalls = 1000;
constexpr auto callInterval = 2500us;
constexpr std::size_t maxResponseBytes = 4096;

double measureCallUs(net::LoopThread &thread, net::HttpClient &client, const net::Address &to, const std::string &service)
{
    std::promise<double> done;
    thread.loop().post([&] {
        net::ClientRequest request;
        request.url = fmt::format("http://{}/probe", to.toString());
        request.headers = {{"Host", service}, {"X-User", "probe"}};
        request.timeout = core::Duration(2s);
        const auto started = core::steadyNow();
        client.fetch(request, maxResponseBytes, [&done, started](const net::ClientResponse &) {
            done.set_value(static_cast<double>((core::steadyNow() - started).count()));
        });
    });
    return done.get_future().get();
}
} // namespace

LatencyMeasurement probeLatency(const std::vector<net::Address> &entrances, const net::Address &upstream, const std::string &service)
{
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    thread.call([&] { client = std::make_unique<net::HttpClient>(thread.loop()); });
    std::vector<double> direct;
    std::vector<double> throughNodes;
    for (int call = 0; call < warmUpCalls + measuredCalls; ++call) {
        const auto directUs = measureCallUs(thread, *client, upstream, service);
        const auto throughNodesUs = measureCallUs(thread, *client, entrances[static_cast<std::size_t>(call) % entrances.size()], service);
        if (call >= warmUpCalls) {
            direct.push_back(directUs);
            throughNodes.push_back(throughNodesUs);
        }
        std::this_thread::sleep_for(callInterval);
    }
    thread.call([&] { client.reset(); });
    LatencyMeasurement latency;
    latency.directP50Us = percentile(direct, 0.5);
    latency.directP99Us = percentile(direct, 0.99);
    latency.addedP50Us = percentile(throughNodes, 0.5) - latency.directP50Us;
    latency.addedP99Us = percentile(throughNodes, 0.99) - latency.directP99Us;
    return latency;
}
} // namespace figpulley::bench
