#include "cli/command.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/options.h"
#include "cli/platformsession.h"
#include "core/ids.h"
#include "net/address.h"
#include "sync/applyprocess.h"

#include <chrono>
#include <cstdlib>
#include <random>

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace figpulley::cli
{
namespace
{
namespace leaf = core::leaf;

std::string formatUtcNow()
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", now);
}

std::string makeRandomId()
{
    std::random_device device;
    return core::toHex((static_cast<std::uint64_t>(device()) << 32U) | device());
}

std::string currentUser()
{
    const auto *user = std::getenv("USER");
    return user != nullptr ? user : "operator";
}

// Adds a rejected apply to the audit trail. Ignores a failure to write, because the rejection itself changed nothing.
void recordRefusal(PlatformSession &session, const sync::ApplyRequest &request, const std::string &reason)
{
    const nlohmann::json entry {
        {"applied_by", request.appliedBy}, {"applied_at", request.appliedAt}, {"note", request.note}, {"refused", reason}};
    const auto key = "figpulley/refused/" + request.appliedAt + "-" + request.applyId;
    static_cast<void>(
        session.wait<store::StoreResult>([&](store::ObjectStore &store, auto callback) { store.put(key, entry.dump(1), {0}, callback); }));
}

int applyFiles(PlatformSession &session, const sync::ApplyRequest &request)
{
    const auto result = session.wait<sync::ApplyResult>(
        [&](store::ObjectStore &store, auto callback) { sync::ApplyProcess::start(store, request, callback); });
    if (result.kind == core::ErrorKind::None) {
        fmt::print("{}\n", result.message);
        return exitOk;
    }
    fmt::print(stderr, "figpulley apply: {}: {}\n", core::errorProperties(result.kind).name, result.message);
    if (!request.isDryRun && core::errorProperties(result.kind).ran == core::Ran::No) {
        recordRefusal(session, request, std::string(core::errorProperties(result.kind).name) + ": " + result.message);
    }
    return exitFailed;
}
} // namespace

int runApply(const std::vector<std::string> &arguments)
{
    auto options = makeOptions(
        "apply", "Replaces the active configuration with a set of files. Files that are not in the set become inactive.", "FILE...");
    options.add_options()("platform", "ip:port of the platform's object API", cxxopts::value<std::string>());
    options.add_options()("dry-run", "show the changes without applying them");
    options.add_options()("by", "name of the operator, for the audit trail", cxxopts::value<std::string>()->default_value(currentUser()));
    options.add_options()("note", "reason of the change, for the audit trail", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("base", "refuse unless this revision is active", cxxopts::value<std::uint64_t>());
    options.add_options()("above", "assign a revision above this one, after the platform was restored to an older state",
                          cxxopts::value<std::uint64_t>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto paths = positionalArguments(parsed);
    if (paths.empty() || parsed.count("platform") == 0) {
        throwUsageError("--platform and at least one file are required");
    }
    const auto address = parsed["platform"].as<std::string>();
    if (!net::parseAddress(address)) {
        throwUsageError("--platform must be ip:port");
    }
    sync::ApplyRequest request;
    request.appliedBy = parsed["by"].as<std::string>();
    request.appliedAt = formatUtcNow();
    request.note = parsed["note"].as<std::string>();
    request.applyId = makeRandomId();
    request.isDryRun = parsed.count("dry-run") > 0;
    if (parsed.count("base") > 0) {
        request.baseRevision = parsed["base"].as<std::uint64_t>();
    }
    if (parsed.count("above") > 0) {
        request.revisionFloor = parsed["above"].as<std::uint64_t>();
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(files, readFiles(paths));
            request.files = std::move(files);
            PlatformSession session(address);
            if (!checkAndPrint(request.files, false)) {
                fmt::print(stderr, "figpulley apply: nothing was changed\n");
                if (!request.isDryRun) {
                    recordRefusal(session, request, "invalid-file");
                }
                return exitFailed;
            }
            return applyFiles(session, request);
        },
        [](const core::ErrorDetail &detail) {
            fmt::print(stderr, "figpulley apply: {}; nothing was changed\n", detail.text);
            return exitFailed;
        },
        [] { return exitFailed; });
}
} // namespace figpulley::cli
