#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "cli/signalwatch.h"
#include "net/eventloop.h"
#include "standin/platformserver.h"
#include "standin/upstreamserver.h"

#include <chrono>

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
using namespace std::chrono_literals;

net::Address addressOption(const cxxopts::ParseResult &parsed, const std::string &name)
{
    const auto address = net::parseAddress(parsed[name].as<std::string>());
    if (!address) {
        usageError("--" + name + " must be ip:port");
    }
    return *address;
}

void serveUntilSignal(net::EventLoop &loop)
{
    watchSignals();
    loop.callEvery(core::Duration(50ms), [&loop] {
        if (signalsReceived() > 0) {
            loop.stop();
        }
    });
    loop.run();
}

// "service:method:/path"
standin::NestedCall parseNested(const std::string &text)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        usageError("--nested must be SERVICE:METHOD:PATH");
    }
    return {text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1)};
}

int serveUpstream(const cxxopts::ParseResult &parsed)
{
    standin::UpstreamOptions upstream;
    upstream.slots = parsed["slots"].as<int>();
    upstream.connections = parsed["connections"].as<int>();
    upstream.coldStartTime = std::chrono::milliseconds(parsed["cold-start-ms"].as<int>());
    upstream.loadReportInterval = std::chrono::milliseconds(parsed["load-lag-ms"].as<int>());
    upstream.reportsZeroLoad = parsed.count("lie") > 0;
    standin::UpstreamRoute route;
    route.serviceTime = std::chrono::milliseconds(parsed["service-ms"].as<int>());
    route.responseBytes = parsed["answer-bytes"].as<std::size_t>();
    if (parsed.count("nested") > 0) {
        for (const auto &text : parsed["nested"].as<std::vector<std::string>>()) {
            route.nested.push_back(parseNested(text));
        }
        upstream.nestedProxy = addressOption(parsed, "nested-face");
    }
    upstream.routes = {route};
    net::EventLoop loop;
    const standin::UpstreamServer server(loop, addressOption(parsed, "listen"), upstream, nullptr);
    fmt::print(stderr, "stand-in upstream on {}\n", server.address().toString());
    serveUntilSignal(loop);
    return exitOk;
}

int servePlatform(const cxxopts::ParseResult &parsed)
{
    net::EventLoop loop;
    const standin::PlatformServer server(loop, addressOption(parsed, "listen"));
    fmt::print(stderr, "stand-in platform on {}\n", server.address().toString());
    serveUntilSignal(loop);
    return exitOk;
}
} // namespace

int runStandin(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("standin", "Runs a stand-in, for trials and tests.", "platform|upstream");
    options.add_options()("listen", "ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("slots", "upstream: requests worked on at once", cxxopts::value<int>()->default_value("10"));
    options.add_options()("connections", "upstream: requests held; more are shed", cxxopts::value<int>()->default_value("100"));
    options.add_options()("service-ms", "upstream: service time", cxxopts::value<int>()->default_value("20"));
    options.add_options()("answer-bytes", "upstream: length of answers", cxxopts::value<std::size_t>()->default_value("200"));
    options.add_options()("cold-start-ms", "upstream: time until it is warm", cxxopts::value<int>()->default_value("0"));
    options.add_options()("nested", "upstream: SERVICE:METHOD:PATH called for each request", cxxopts::value<std::vector<std::string>>());
    options.add_options()("nested-face", "upstream: ip:port of its node's nested face", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("load-lag-ms", "upstream: age that the load report may reach", cxxopts::value<int>()->default_value("0"));
    options.add_options()("lie", "upstream: report that it is idle");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto kinds = positionals(parsed);
    if (kinds.size() == 1 && kinds.front() == "platform") {
        return servePlatform(parsed);
    }
    if (kinds.size() == 1 && kinds.front() == "upstream") {
        return serveUpstream(parsed);
    }
    usageError("say platform or upstream");
}
} // namespace figpulley::cli
