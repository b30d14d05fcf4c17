#include "alerts/alerttracker.h"

#include "alerts/template.h"
#include "core/json.h"

#include <algorithm>
#include <array>
#include <set>

#include <nlohmann/json.hpp>

namespace figpulley::alerts
{
namespace
{
using nlohmann::json;

constexpr std::array<std::string_view, 3> stateNames {"pending", "firing", "resolved"};

Labels makeAlertLabels(const AlertRule &rule, const VectorSample &sample)
{
    auto labels = sample.labels.without({});
    for (const auto &[name, text] : rule.labels) {
        labels.set(name, expandTemplate(text, sample.labels, sample.value));
    }
    labels.set("alertname", rule.alert);
    return labels;
}

std::map<std::string, std::string> makeAnnotations(const AlertRule &rule, const VectorSample &sample)
{
    std::map<std::string, std::string> annotations;
    for (const auto &[name, text] : rule.annotations) {
        annotations[name] = expandTemplate(text, sample.labels, sample.value);
    }
    return annotations;
}

json toJson(const Alert &alert)
{
    return {{"rule", alert.rule},
            {"labels", alert.labels.items()},
            {"annotations", alert.annotations},
            {"value", formatValue(alert.value)},
            {"firing", alert.state == AlertState::Firing},
            {"active_at", alert.activeAt},
            {"fired_at", alert.firedAt},
            {"kept_since", alert.keepFiringSince}};
}

Alert alertFromJson(const json &document)
{
    Alert alert;
    alert.rule = document.at("rule").get<std::string>();
    for (const auto &[name, value] : document.at("labels").items()) {
        alert.labels.set(name, value.get<std::string>());
    }
    alert.annotations = document.at("annotations").get<std::map<std::string, std::string>>();
    alert.value = std::strtod(document.at("value").get_ref<const std::string &>().c_str(), nullptr);
    alert.state = document.at("firing").get<bool>() ? AlertState::Firing : AlertState::Pending;
    alert.activeAt = document.at("active_at").get<Millis>();
    alert.firedAt = document.at("fired_at").get<Millis>();
    alert.keepFiringSince = document.at("kept_since").get<Millis>();
    return alert;
}
} // namespace

std::string_view name(AlertState state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::vector<AlertTransition> AlertTracker::evaluate(const RuleGroup &group, const Evaluator &evaluator, Millis now)
{
    std::vector<AlertTransition> transitions;
    for (const auto &rule : group.rules) {
        const auto result = evaluator.evaluateVector(*rule.expression, now);
        this->evaluateRule(group.name + "/" + rule.alert, rule, result, now, transitions);
    }
    return transitions;
}

void AlertTracker::evaluateRule(const std::string &key, const AlertRule &rule, const InstantVector &result, Millis now,
                                std::vector<AlertTransition> &transitions)
{
    std::set<Labels> present;
    for (const auto &sample : result) {
        const auto labels = makeAlertLabels(rule, sample);
        if (!present.insert(labels).second) {
            throw EvaluationError("two results of alert " + rule.alert + " have the same labels " + labels.toString());
        }
        auto &alert = this->alerts[{key, labels}];
        if (alert.rule.empty()) {
            alert.rule = key;
            alert.labels = labels;
            alert.activeAt = now;
        }
        alert.value = sample.value;
        alert.annotations = makeAnnotations(rule, sample);
    }
    for (auto entry = this->alerts.begin(); entry != this->alerts.end();) {
        if (entry->first.rule != key) {
            ++entry;
            continue;
        }
        auto &alert = entry->second;
        const bool wasFiring = alert.state == AlertState::Firing;
        this->updateState(rule, alert, present.contains(alert.labels), now, transitions);
        const bool shouldErase = alert.state == AlertState::Resolved || (!present.contains(alert.labels) && !wasFiring);
        entry = shouldErase ? this->alerts.erase(entry) : std::next(entry);
    }
}

void AlertTracker::updateState(const AlertRule &rule, Alert &alert, bool isPresent, Millis now,
                               std::vector<AlertTransition> &transitions) const
{
    if (isPresent) {
        alert.keepFiringSince = 0;
        if (alert.state == AlertState::Pending && now - alert.activeAt >= rule.holdFor) {
            alert.state = AlertState::Firing;
            alert.firedAt = now;
            transitions.push_back({alert, now});
        }
        return;
    }
    if (alert.state != AlertState::Firing) {
        return;
    }
    if (rule.keepFiringFor > 0 && alert.keepFiringSince == 0) {
        alert.keepFiringSince = now;
    }
    const bool keepsFiring = rule.keepFiringFor > 0 && now - alert.keepFiringSince < rule.keepFiringFor;
    if (!keepsFiring) {
        alert.state = AlertState::Resolved;
        alert.resolvedAt = now;
        transitions.push_back({alert, now});
    }
}

std::vector<Alert> AlertTracker::activeAlerts() const
{
    std::vector<Alert> result;
    result.reserve(this->alerts.size());
    for (const auto &[key, alert] : this->alerts) {
        result.push_back(alert);
    }
    return result;
}

std::string AlertTracker::encodeState() const
{
    auto document = json::array();
    for (const auto &[key, alert] : this->alerts) {
        document.push_back(toJson(alert));
    }
    return document.dump();
}

bool AlertTracker::mergeState(std::string_view text)
{
    std::vector<Alert> received;
    try {
        for (const auto &item : core::parseJson(text)) {
            received.push_back(alertFromJson(item));
        }
    } catch (const json::exception &) {
        return false;
    }
    for (auto &alert : received) {
        auto &existing = this->alerts[{alert.rule, alert.labels}];
        const bool isOlder = existing.rule.empty() || alert.activeAt < existing.activeAt;
        if (isOlder) {
            existing = std::move(alert);
        }
    }
    return true;
}
} // namespace figpulley::alerts
