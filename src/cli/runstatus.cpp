#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "core/json.h"
#include "net/address.h"
#include "net/httpclient.h"
#include "net/loopthread.h"

#include <chrono>
#include <future>
#include <memory>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::cli
{
namespace
{
using nlohmann::json;

constexpr core::Duration statusTimeout = std::chrono::seconds(3);
constexpr std::size_t maxStatusBytes = 16UL << 20U;

json fetchStatus(net::LoopThread &thread, net::HttpClient &client, const std::string &address)
{
    std::promise<json> promise;
    thread.loop().post([&] {
        net::ClientRequest request;
        request.url = fmt::format("http://{}/status", address);
        request.timeout = statusTimeout;
        client.fetch(request, maxStatusBytes, [&promise](const net::ClientResponse &answer) {
            auto status = core::parseJson(answer.body);
            promise.set_value(status.is_object() ? status : json());
        });
    });
    return promise.get_future().get();
}

void printNode(const std::string &address, const json &status)
{
    if (!status.is_object()) {
        fmt::print("{:<22} unknown: the node does not respond\n", address);
        return;
    }
    fmt::print("{:<22} {:<12} {:<14} revision {:<6} limit {:<6.0f} running {:<5} queued {:<5} threshold {:<6}{}{}\n", address,
               status.value("availability_zone", ""), status.value("service", "-"), status.value("revision", 0), status.value("limit", 0.0),
               status.value("running", 0), status.value("queued", 0), status.value("threshold", 0),
               status.value("leaving", false) ? " leaving" : "", status.value("isolated", false) ? " isolated" : "");
    if (const auto problem = status.value("config_problem", ""); !problem.empty()) {
        fmt::print("  config problem: {}\n", problem);
    }
    if (const auto older = status.value("platform_older_revision", 0); older != 0) {
        fmt::print("  the platform has the older revision {} because it was restored; apply with --above {}\n", older,
                   status.value("revision", 0));
    }
    const auto zones = status.value("zones", json::object());
    for (const auto &[zone, report] : zones.items()) {
        if (report.value("state", "") == "unknown") {
            fmt::print("  zone {} unknown for {} s\n", zone, report.value("unknown_for_seconds", 0));
        }
    }
}
} // namespace

int runStatus(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("status", "Shows the state that nodes report.");
    options.add_options()("node", "control address of a node; may be repeated", cxxopts::value<std::vector<std::string>>());
    options.add_options()("json", "print the reports as one JSON object");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    if (parsed.count("node") == 0) {
        throwUsageError("--node is required");
    }
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    thread.call([&] { client = std::make_unique<net::HttpClient>(thread.loop()); });
    auto reports = json::object();
    bool areAllReachable = true;
    for (const auto &address : parsed["node"].as<std::vector<std::string>>()) {
        if (!net::parseAddress(address)) {
            throwUsageError("--node must be ip:port");
        }
        reports[address] = fetchStatus(thread, *client, address);
        areAllReachable = areAllReachable && reports[address].is_object();
        if (parsed.count("json") == 0) {
            printNode(address, reports[address]);
        }
    }
    if (parsed.count("json") > 0) {
        fmt::print("{}\n", reports.dump(1));
    }
    thread.call([&] { client.reset(); });
    return areAllReachable ? exitOk : exitFailed;
}
} // namespace figpulley::cli
