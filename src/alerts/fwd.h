#pragma once

#include <cstdint>

/// Forward declarations of the alerts module.
namespace figpulley::alerts
{
class AlertTracker;
class Evaluator;
class Labels;
class Matcher;
class MetricMapping;
class SampleSource;
class SampleStore;
struct AlertRule;
struct Expression;
struct RuleGroup;
struct RuleSet;
struct Sample;
struct Series;
struct Value;
} // namespace figpulley::alerts
