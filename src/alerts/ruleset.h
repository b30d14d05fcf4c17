#pragma once
namespace figpulley::alerts
{
/// All alert rules in force.
struct RuleSet
{
};
} // namespace figpulley::alerts
