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

net::Address readAddress(const cxxopts::ParseResult &parsed, const std::string &name)
{
    const auto address = net::parseAddress(parsed[name].as<std::string>());
    if (!address) {
        throwUsageError("--" + name + " must be ip:port");
    }
    return *address;
}

void serveUntilSignal(net::EventLoop &loop)
{
    installSignalHandlers();
    loop.callEvery(core::Duration(50ms), [&loop] {
        if (receivedStopSignals() > 0) {
            loop.stop();
        }
    });
    loop.run();
}

// Parses a nested call written as "service:method:/path".
standin::NestedCall parseNestedCall(const std::string &text)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        throwUsageError("--nested must be SERVICE:METHOD:PATH");
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
            route.nested.push_back(parseNestedCall(text));
        }
        upstream.nestedProxy = readAddress(parsed, "nested-face");
    }
    upstream.routes = {route};
    net::EventLoop loop;
    const standin::UpstreamServer server(loop, readAddress(parsed, "listen"), upstream, nullptr);
    fmt::print(stderr, "stand-in upstream on {}\n", server.address().toString());
    serveUntilSignal(loop);
    return exitOk;
}

int servePlatform(const cxxopts::ParseResult &parsed)
{
    net::EventLoop loop;
    const standin::PlatformServer server(loop, readAddress(parsed, "listen"));
    fmt::print(stderr, "stand-in platform on {}\n", server.address().toString());
    serveUntilSignal(loop);
    return exitOk;
}
} // namespace

int runStandin(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("standin", "Runs a stand-in for the platform or for an upstream, for tests.", "platform|upstream");
    options.add_options()("listen", "ip:port to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("slots", "upstream: maximum number of requests that run at once", cxxopts::value<int>()->default_value("10"));
    options.add_options()("connections", "upstream: maximum number of requests held; more are shed",
                          cxxopts::value<int>()->default_value("100"));
    options.add_options()("service-ms", "upstream: service time of a request, in milliseconds", cxxopts::value<int>()->default_value("20"));
    options.add_options()("answer-bytes", "upstream: length of a response body, in bytes",
                          cxxopts::value<std::size_t>()->default_value("200"));
    options.add_options()("cold-start-ms", "upstream: duration of the cold start, in milliseconds",
                          cxxopts::value<int>()->default_value("0"));
    options.add_options()("nested", "upstream: nested call made for each request, as SERVICE:METHOD:PATH",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("nested-face", "upstream: ip:port at which its node accepts nested calls",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("load-lag-ms", "upstream: maximum age of the load report, in milliseconds",
                          cxxopts::value<int>()->default_value("0"));
    options.add_options()("lie", "upstream: always report an idle load");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto kinds = positionalArguments(parsed);
    if (kinds.size() == 1 && kinds.front() == "platform") {
        return servePlatform(parsed);
    }
    if (kinds.size() == 1 && kinds.front() == "upstream") {
        return serveUpstream(parsed);
    }
    throwUsageError("the kind of stand-in must be platform or upstream");
}
} // namespace figpulley::cli
