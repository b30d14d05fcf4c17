#include "config/load.h"

#include "alerts/rulefile.h"
#include "alerts/ruleset.h"
#include "config/filekind.h"
#include "text/objectreader.h"
#include "text/parse.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

#include <fmt/format.h>

namespace figpulley::config
{
namespace
{
using text::ObjectReader;
using text::Problems;

core::Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

// Adds the keys that a service's section lacks from the defaults section. The merge precedes validation, so that
// the built-in defaults apply only to keys that neither section has.
text::Value mergeObjects(const text::Value &base, const text::Value &overlay)
{
    auto members = *overlay.as<text::Object>();
    for (const auto &member : *base.as<text::Object>()) {
        if (overlay.find(member.key) == nullptr) {
            members.push_back(member);
        }
    }
    return {overlay.position(), std::move(members)};
}

ServicePolicy readService(const std::string &file, const text::Value &value, Problems &problems)
{
    const ObjectReader reader(file, value, servicePolicySection(), problems);
    ServicePolicy policy;
    const auto algorithm = limitAlgorithmFromName(reader.string("limit"));
    if (algorithm) {
        policy.limitAlgorithm = *algorithm;
    } else {
        reader.report("limit", fmt::format("unknown limit \"{}\"; must be probing, gradient, aimd, pid or fixed", reader.string("limit")));
    }
    policy.limitInitial = static_cast<int>(reader.integer("limit_initial"));
    policy.limitMinimum = static_cast<int>(reader.integer("limit_minimum"));
    policy.limitMaximum = static_cast<int>(reader.integer("limit_maximum"));
    if (policy.limitMinimum > policy.limitMaximum) {
        reader.report("limit_minimum", "\"limit_minimum\" exceeds \"limit_maximum\"");
    }
    policy.limitInitial = std::clamp(policy.limitInitial, policy.limitMinimum, std::max(policy.limitMinimum, policy.limitMaximum));
    policy.queueLength = static_cast<int>(reader.integer("queue_length"));
    policy.queueDelay = milliseconds(reader.integer("queue_ms"));
    policy.coldStart = milliseconds(reader.integer("cold_start_ms"));
    policy.drain = milliseconds(reader.integer("drain_ms"));
    policy.retryRate = reader.number("retry_rate");
    policy.retryBurst = static_cast<int>(reader.integer("retry_burst"));
    policy.outlierFailures = static_cast<int>(reader.integer("outlier_failures"));
    policy.outlierPause = milliseconds(reader.integer("outlier_pause_ms"));
    return policy;
}

void readOverloadPolicy(const std::string &file, const text::Value &root, Configuration &configuration, Problems &problems)
{
    const ObjectReader reader(file, root, overloadPolicySection(), problems);
    const text::Value empty(root.position(), text::Object {});
    const auto *roots = reader.find("roots");
    const auto *defaults = reader.find("defaults");
    const ObjectReader rootReader(file, roots != nullptr ? *roots : empty, rootPolicySection(), problems);
    auto &policy = configuration.overload;
    policy.rootRetryBudget = static_cast<int>(rootReader.integer("retry_budget"));
    policy.rootDeadline = milliseconds(rootReader.integer("deadline_ms"));
    policy.isEarlySheddingEnabled = rootReader.boolean("early_shedding");
    const auto &base = defaults != nullptr ? *defaults : empty;
    policy.defaults = readService(file, base, problems);
    for (const auto *member : reader.members("services")) {
        if (member->value.as<text::Object>() == nullptr) {
            problems.push_back({file, member->value.position(), fmt::format("service \"{}\" must be an object", member->key)});
            continue;
        }
        policy.services[member->key] = readService(file, mergeObjects(base, member->value), problems);
    }
}

Route readRoute(const std::string &file, const text::Value &value, const std::vector<std::string> &levels, Problems &problems)
{
    const ObjectReader reader(file, value, routeSection(), problems);
    Route route;
    route.name = reader.string("name");
    route.service = reader.string("service");
    route.method = reader.string("method");
    route.pathPrefix = reader.string("path_prefix");
    route.isIdempotent = reader.boolean("idempotent");
    if (!route.pathPrefix.starts_with('/')) {
        reader.report("path_prefix", "\"path_prefix\" must start with '/'");
    }
    const auto level = std::find(levels.begin(), levels.end(), reader.string("level"));
    if (level != levels.end()) {
        route.level = static_cast<std::uint32_t>(level - levels.begin());
    } else if (reader.find("level") != nullptr) {
        const auto suggestion = text::findClosest(reader.string("level"), {levels.begin(), levels.end()});
        reader.report("level",
                      fmt::format("unknown level \"{}\"{}", reader.string("level"),
                                  suggestion.empty() ? "" : fmt::format("; did you mean \"{}\"?", suggestion)));
    }
    if (reader.find("deadline_ms") != nullptr) {
        route.deadline = milliseconds(reader.integer("deadline_ms"));
    }
    if (reader.find("retry_budget") != nullptr) {
        route.retryBudget = static_cast<int>(reader.integer("retry_budget"));
    }
    return route;
}

void readRequestPriorities(const std::string &file, const text::Value &root, Configuration &configuration, Problems &problems)
{
    const ObjectReader reader(file, root, requestPrioritiesSection(), problems);
    auto &priorities = configuration.priorities;
    priorities.levels = reader.strings("levels");
    priorities.userHeader = reader.string("user_header");
    if (std::set<std::string>(priorities.levels.begin(), priorities.levels.end()).size() != priorities.levels.size()) {
        reader.report("levels", "\"levels\" contains a duplicate");
    }
    std::set<std::string> names;
    for (const auto *value : reader.objects("routes")) {
        auto route = readRoute(file, *value, priorities.levels, problems);
        if (!route.name.empty() && !names.insert(route.name).second) {
            problems.push_back({file, value->position(), fmt::format("duplicate route name \"{}\"", route.name)});
        }
        priorities.routes.push_back(std::move(route));
    }
}

std::optional<FileKind> readKind(const SourceFile &file, const text::Value &root, Problems &problems)
{
    const auto *kind = root.find("kind");
    const auto *text = kind != nullptr ? kind->as<std::string>() : nullptr;
    if (text == nullptr) {
        problems.push_back({file.name, root.position(),
                            "the file lacks \"kind\"; must be overload-policy, request-priorities, alert-rules or metric-mapping"});
        return std::nullopt;
    }
    const auto found = fileKindFromName(*text);
    if (!found) {
        problems.push_back(
            {file.name, kind->position(),
             fmt::format("unknown kind \"{}\"; must be overload-policy, request-priorities, alert-rules or metric-mapping", *text)});
    }
    return found;
}

// A set holds at most one file of these kinds, so that the result does not depend on the order of the files.
bool isUniqueKind(FileKind kind)
{
    return kind == FileKind::OverloadPolicy || kind == FileKind::RequestPriorities;
}
} // namespace

std::shared_ptr<Configuration> load(const std::vector<SourceFile> &files, Problems &problems)
{
    auto configuration = std::make_shared<Configuration>(*builtInConfiguration());
    alerts::RuleFileReader ruleReader(problems);
    std::map<FileKind, std::string> firstFiles;
    for (const auto &file : files) {
        const auto root = text::parse(file.name, file.text, problems);
        if (!root) {
            continue;
        }
        const auto kind = readKind(file, *root, problems);
        if (!kind) {
            continue;
        }
        const auto [first, isNew] = firstFiles.emplace(*kind, file.name);
        if (!isNew && isUniqueKind(*kind)) {
            problems.push_back(
                {file.name, root->position(), fmt::format("the set already has the {1} file {0}", first->second, name(*kind))});
            continue;
        }
        switch (*kind) {
        case FileKind::OverloadPolicy:
            readOverloadPolicy(file.name, *root, *configuration, problems);
            break;
        case FileKind::RequestPriorities:
            configuration->priorities = {};
            readRequestPriorities(file.name, *root, *configuration, problems);
            break;
        case FileKind::AlertRules:
            ruleReader.addRules(file.name, *root);
            break;
        case FileKind::MetricMapping:
            ruleReader.addMapping(file.name, *root);
            break;
        }
    }
    configuration->alertRules = ruleReader.finish();
    if (text::hasErrors(problems)) {
        return nullptr;
    }
    return configuration;
}

ConfigurationPtr builtInConfiguration()
{
    static const ConfigurationPtr builtIn = [] {
        auto configuration = std::make_shared<Configuration>();
        Problems problems;
        const text::Value empty({}, text::Object {});
        configuration->overload.defaults = readService("built-in", empty, problems);
        const ObjectReader roots("built-in", empty, rootPolicySection(), problems);
        configuration->overload.rootRetryBudget = static_cast<int>(roots.integer("retry_budget"));
        configuration->overload.rootDeadline = milliseconds(roots.integer("deadline_ms"));
        configuration->alertRules = std::make_shared<alerts::RuleSet>();
        return configuration;
    }();
    return builtIn;
}
} // namespace figpulley::config
