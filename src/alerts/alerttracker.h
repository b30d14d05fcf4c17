#pragma once

#include "alerts/evaluator.h"
#include "alerts/ruleset.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::alerts
{
/// State of an alert; an alert is pending until its expression has held for the rule's `for` duration.
enum class AlertState : std::uint8_t {
    Pending,
    Firing,
    Resolved,
};

[[nodiscard]] std::string_view name(AlertState state) noexcept;

/// Instance of an alert rule for one label set.
struct Alert
{
    std::string rule; ///< `group/alert`
    Labels labels;
    std::map<std::string, std::string> annotations;
    double value = 0;
    AlertState state = AlertState::Pending;
    Millis activeAt = 0; ///< time of the first of the consecutive evaluations that returned this label set
    Millis firedAt = 0;
    Millis keepFiringSince = 0; ///< start of the keep_firing_for period; 0 outside of it
    Millis resolvedAt = 0;
};

/// Change of an alert to firing or to resolved.
struct AlertTransition
{
    Alert alert;
    Millis at = 0;
};

/// Tracks the state of the alerts of all rules across evaluations. The state can be transferred to another tracker, so
/// that a failover does not restart a `for` duration.
class AlertTracker
{
public:
    /// Evaluates the rules of a group in their order.
    /// @returns alerts that started to fire or were resolved
    /// @throws EvaluationError if a rule fails; the rules after it are not evaluated, and transitions of the rules before it are not
    /// returned
    std::vector<AlertTransition> evaluate(const RuleGroup &group, const Evaluator &evaluator, Millis now);

    /// @returns pending and firing alerts
    [[nodiscard]] std::vector<Alert> activeAlerts() const;

    /// Encodes all alerts as JSON for mergeState() of another tracker.
    [[nodiscard]] std::string encodeState() const;

    /// Merges the encoded state of another tracker. Of an alert known to both, the one that became active earlier is kept.
    /// @returns false if the text is malformed; the state is then unchanged
    bool mergeState(std::string_view text);

private:
    struct Key
    {
        std::string rule;
        Labels labels;
        [[nodiscard]] auto operator<=>(const Key &) const = default;
    };

    void evaluateRule(const std::string &key, const AlertRule &rule, const InstantVector &result, Millis now,
                      std::vector<AlertTransition> &transitions);
    void updateState(const AlertRule &rule, Alert &alert, bool isPresent, Millis now, std::vector<AlertTransition> &transitions) const;

    std::map<Key, Alert> alerts;
};
} // namespace figpulley::alerts
