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
constexpr auto callGap = 2500us;
constexpr std::size_t largestAnswer = 4096;

double callOnce(net::LoopThread &thread, net::HttpClient &client, const net::Address &to, const std::string &service)
{
    std::promise<double> done;
    thread.loop().post([&] {
        net::ClientRequest request;
        request.url = fmt::format("http://{}/probe", to.toString());
        request.headers = {{"Host", service}, {"X-User", "probe"}};
        request.timeout = core::Duration(2s);
        const auto started = core::steadyNow();
        client.fetch(request, largestAnswer, [&done, started](const net::ClientResponse &) {
            done.set_value(static_cast<double>((core::steadyNow() - started).count()));
        });
    });
    return done.get_future().get();
}
} // namespace

LatencyProbe probeLatency(const std::vector<net::Address> &entrances, const net::Address &upstream, const std::string &service)
{
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    thread.call([&] { client = std::make_unique<net::HttpClient>(thread.loop()); });
    std::vector<double> direct;
    std::vector<double> through;
    for (int call = 0; call < warmUpCalls + measuredCalls; ++call) {
        const auto directUs = callOnce(thread, *client, upstream, service);
        const auto throughUs = callOnce(thread, *client, entrances[static_cast<std::size_t>(call) % entrances.size()], service);
        if (call >= warmUpCalls) {
            direct.push_back(directUs);
            through.push_back(throughUs);
        }
        std::this_thread::sleep_for(callGap);
    }
    thread.call([&] { client.reset(); });
    LatencyProbe probe;
    probe.directP50Us = percentile(direct, 0.5);
    probe.directP99Us = percentile(direct, 0.99);
    probe.addedP50Us = percentile(through, 0.5) - probe.directP50Us;
    probe.addedP99Us = percentile(through, 0.99) - probe.directP99Us;
    return probe;
}
} // namespace figpulley::bench
