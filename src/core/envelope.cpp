#include "core/envelope.h"

#include "core/json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::core
{
namespace
{
using nlohmann::json;

constexpr int maxRetryBudget = 1000;
constexpr std::int64_t maxRemainingUs = 86'400'000'000;

// The accessors throw, and each decoder catches once: every missing, mistyped or out-of-range field makes the header malformed.
std::uint64_t hexField(const json &object, const char *key)
{
    std::uint64_t number = 0;
    if (!fromHex(object.at(key).get_ref<const std::string &>(), number)) {
        throw json::other_error::create(0, "not hexadecimal", nullptr);
    }
    return number;
}

std::int64_t boundedField(const json &object, const char *key, std::int64_t maximum)
{
    const auto &field = object.at(key);
    if (!field.is_number_integer()) {
        throw json::other_error::create(0, "not an integer", nullptr);
    }
    const auto number = field.get<std::int64_t>();
    if (number < 0 || number > maximum) {
        throw json::other_error::create(0, "out of range", nullptr);
    }
    return number;
}
} // namespace

std::string encode(const CallEnvelope &envelope)
{
    const json object {{"attempt", toHex(value(envelope.attempt))},
                       {"root", toHex(envelope.root)},
                       {"service", envelope.service},
                       {"route", envelope.route},
                       {"rank", envelope.rank.value()},
                       {"budget", envelope.retryBudget},
                       {"remaining_us", envelope.remaining.count()},
                       {"idempotent", envelope.isIdempotent},
                       {"target", toHex(value(envelope.target))}};
    return object.dump();
}

std::string encode(const CallOutcome &outcome)
{
    return fmt::format(R"({{"kind":"{}","ran":"{}","spent":{},"threshold":{},"retry":{}}})", errorProperties(outcome.kind).name,
                       name(outcome.ran), outcome.retriesSpent, outcome.threshold.value(), outcome.isRetryWorthwhile);
}

std::optional<CallEnvelope> decodeEnvelope(std::string_view text)
{
    try {
        const auto object = parseJson(text);
        CallEnvelope envelope;
        envelope.attempt = AttemptId {hexField(object, "attempt")};
        envelope.root = hexField(object, "root");
        envelope.service = object.at("service").get<std::string>();
        envelope.route = object.at("route").get<std::string>();
        envelope.rank = Rank(static_cast<std::uint32_t>(boundedField(object, "rank", Rank::end)));
        envelope.retryBudget = static_cast<int>(boundedField(object, "budget", maxRetryBudget));
        envelope.remaining = Duration(boundedField(object, "remaining_us", maxRemainingUs));
        envelope.isIdempotent = object.at("idempotent").get<bool>();
        envelope.target = Incarnation {hexField(object, "target")};
        return envelope;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<CallOutcome> decodeOutcome(std::string_view text)
{
    try {
        const auto object = parseJson(text);
        const auto kind = errorKindFromName(object.at("kind").get_ref<const std::string &>());
        if (!kind) {
            return std::nullopt;
        }
        CallOutcome outcome;
        outcome.kind = *kind;
        const auto &ran = object.at("ran").get_ref<const std::string &>();
        outcome.ran = ran == name(Ran::No) ? Ran::No : ran == name(Ran::Yes) ? Ran::Yes : Ran::Unknown;
        outcome.retriesSpent = static_cast<int>(boundedField(object, "spent", maxRetryBudget));
        outcome.threshold = Rank(static_cast<std::uint32_t>(boundedField(object, "threshold", Rank::end)));
        outcome.isRetryWorthwhile = object.at("retry").get<bool>();
        return outcome;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}
} // namespace figpulley::core
