#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "cli/platformsession.h"
#include "core/json.h"
#include "net/address.h"
#include "sync/manifest.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::cli
{
namespace
{
store::StoreResult fetchObject(PlatformSession &session, const std::string &key)
{
    return session.wait<store::StoreResult>([&](store::ObjectStore &store, auto callback) { store.get(key, callback); });
}

void printManifest(const sync::Manifest &manifest, std::string_view mark)
{
    fmt::print("{}{:<6} {} {:<16} {}{}\n", mark, manifest.revision, manifest.appliedAt, manifest.appliedBy, manifest.summary,
               manifest.note.empty() ? "" : "  # " + manifest.note);
}

std::vector<store::ObjectVersion> listNewestFirst(PlatformSession &session, const std::string &prefix)
{
    auto result = session.wait<store::ListResult>([&](store::ObjectStore &store, auto callback) { store.list(prefix, callback); });
    std::reverse(result.objects.begin(), result.objects.end());
    return result.objects;
}

void printRefusals(PlatformSession &session, std::size_t limit)
{
    std::size_t shown = 0;
    for (const auto &name : listNewestFirst(session, "figpulley/refused/")) {
        const auto object = fetchObject(session, name.key);
        const auto entry = core::parseJson(object.object.value);
        if (!entry.is_object() || shown++ >= limit) {
            continue;
        }
        fmt::print("!{:<6} {} {:<16} {}\n", "", entry.value("applied_at", ""), entry.value("applied_by", ""), entry.value("refused", ""));
    }
}
} // namespace

int runHistory(const std::vector<std::string> &arguments)
{
    auto options =
        makeOptions("history", "Shows the audit trail of configuration changes; * marks the active revision, ! a refused apply.");
    options.add_options()("platform", "ip:port of the platform's object API", cxxopts::value<std::string>());
    options.add_options()("limit", "maximum number of entries to show", cxxopts::value<std::size_t>()->default_value("20"));
    options.add_options()("show", "print the manifest and the files of this revision", cxxopts::value<std::uint64_t>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    if (parsed.count("platform") == 0 || !net::parseAddress(parsed["platform"].as<std::string>())) {
        throwUsageError("--platform is required and must be ip:port");
    }
    PlatformSession session(parsed["platform"].as<std::string>());
    const auto root = fetchObject(session, std::string(sync::rootKey));
    if (root.kind == core::ErrorKind::NotFound) {
        fmt::print("nothing has been applied yet\n");
        return exitOk;
    }
    const auto current = sync::decodeManifest(root.object.value);
    if (root.kind != core::ErrorKind::None || !current) {
        fmt::print(stderr, "figpulley history: cannot read the manifest of the active revision from the platform\n");
        return exitFailed;
    }
    if (parsed.count("show") > 0) {
        const auto revision = parsed["show"].as<std::uint64_t>();
        const auto object = revision == current->revision ? root : fetchObject(session, sync::historyKey(revision));
        const auto manifest = sync::decodeManifest(object.object.value);
        if (!manifest) {
            fmt::print(stderr, "figpulley history: there is no revision {}\n", revision);
            return exitFailed;
        }
        printManifest(*manifest, " ");
        for (const auto &part : manifest->parts) {
            fmt::print("\n==> {} <==\n{}", part.name, fetchObject(session, sync::partKey(part.hash)).object.value);
        }
        return exitOk;
    }
    const auto limit = parsed["limit"].as<std::size_t>();
    printManifest(*current, "*");
    std::size_t shown = 1;
    for (const auto &name : listNewestFirst(session, "figpulley/history/")) {
        if (shown++ >= limit) {
            break;
        }
        if (const auto manifest = sync::decodeManifest(fetchObject(session, name.key).object.value)) {
            printManifest(*manifest, " ");
        }
    }
    printRefusals(session, limit);
    return exitOk;
}
} // namespace figpulley::cli
