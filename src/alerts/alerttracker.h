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
/// State of one alert.
enum class AlertState : std::uint8_t {
    Pending,
    Firing,
    Resolved,
};

[[nodiscard]] std::string_view name(AlertState state) noexcept;

/// One alert: a rule and one set of labels.
struct Alert
{
    std::string rule; ///< group and alert name
    Labels labels;
    std::map<std::string, std::string> annotations;
    double value = 0;
    AlertState state = AlertState::Pending;
    Millis activeAt = 0; ///< first evaluation in a row that had it
    Millis firedAt = 0;
    Millis keptSince = 0; ///< when keep_firing_for began to hold it; 0 if it does not
    Millis resolvedAt = 0;
};

/// An alert that began to fire, or was resolved.
struct AlertTransition
{
    Alert alert;
    Millis at = 0;
};

/// Follows the alerts of all rules over evaluations: pending, firing, resolved. What it remembers can be handed to
/// another evaluator, so that a `for` that has begun does not begin again.
class AlertTracker
{
public:
    /// Evaluates one group.
    /// @returns alerts that began to fire or were resolved
    /// @throws EvaluationError; the group's alerts are then unchanged from the failed rule on
    std::vector<AlertTransition> evaluate(const RuleGroup &group, const Evaluator &evaluator, Millis now);

    /// Pending and firing alerts.
    [[nodiscard]] std::vector<Alert> active() const;

    /// Encodes what another evaluator needs to go on.
    [[nodiscard]] std::string encode() const;

    /// Takes over from another evaluator; alerts that both know keep the earlier instants.
    /// @returns false if the text is malformed; nothing has changed then
    bool adopt(std::string_view text);

private:
    struct Key
    {
        std::string rule;
        Labels labels;
        [[nodiscard]] auto operator<=>(const Key &) const = default;
    };

    void evaluateRule(const std::string &key, const AlertRule &rule, const InstantVector &result, Millis now,
                      std::vector<AlertTransition> &transitions);
    void settle(const AlertRule &rule, Alert &alert, bool isPresent, Millis now, std::vector<AlertTransition> &transitions) const;

    std::map<Key, Alert> alerts;
};
} // namespace figpulley::alerts
