#include "cli/reference.h"

#include "alerts/rulefile.h"
#include "config/overloadpolicy.h"
#include "config/requestpriorities.h"
#include "core/errorkind.h"
#include "mesh/meshsettings.h"
#include "node/nodesettings.h"

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
std::string rangeOf(const text::KeySpec &spec)
{
    switch (spec.type) {
    case text::KeyType::Boolean:
        return "true, false";
    case text::KeyType::Integer:
    case text::KeyType::Number:
        return fmt::format("{} to {}", spec.minimum, spec.maximum);
    case text::KeyType::String:
        return fmt::format("{} to {} characters", spec.minimum, spec.maximum);
    default:
        return fmt::format("{} to {} entries", spec.minimum, spec.maximum);
    }
}

std::string sectionTable(const text::SectionSpec &section)
{
    auto table = fmt::format("## {}\n\n{}\n\n| key | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n", section.name,
                             section.description);
    for (const auto &spec : section.keys) {
        const auto fallback = spec.isRequired() ? std::string("required") : fmt::format("`{}`", spec.defaultText);
        table += fmt::format("| `{}` | {} | {} | {} | {} |\n", spec.key, name(spec.type), rangeOf(spec), fallback, spec.description);
    }
    return table + "\n";
}
} // namespace

std::string referencePage()
{
    std::string page = "# Reference\n\nMade by `figpulley reference` from the program's own tables; a test compares them.\n\n";
    page += sectionTable(node::nodeSettingsSection());
    page += sectionTable(node::sharedKeySection());
    page += sectionTable(mesh::meshSettingsSection());
    page += sectionTable(config::overloadPolicySection());
    page += sectionTable(config::rootPolicySection());
    page += sectionTable(config::servicePolicySection());
    page += sectionTable(config::requestPrioritiesSection());
    page += sectionTable(config::routeSection());
    page += sectionTable(alerts::alertRulesSection());
    page += sectionTable(alerts::ruleGroupSection());
    page += sectionTable(alerts::alertRuleSection());
    page += sectionTable(alerts::metricMappingSection());
    page += sectionTable(alerts::mappedMetricSection());
    page += "## Error kinds\n\nThe header `Figpulley-Kind` of an answer that figpulley itself makes.\n\n"
            "| kind | HTTP status | ran | another try | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &row : core::errorTable()) {
        page += fmt::format("| `{}` | {} | {} | {} | {} |\n", row.name, row.httpStatus, core::name(row.ran),
                            row.isRetryable ? "may help" : "no", row.message);
    }
    return page;
}
} // namespace figpulley::cli
