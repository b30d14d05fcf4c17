#pragma once
#include "alerts/ruleset.h"
#include "text/problem.h"
#include "text/value.h"
#include <memory>
namespace figpulley::alerts
{
/// Collects rule files.
class RuleFileReader
{
public:
    explicit RuleFileReader(text::Problems &problems)
        : problems(problems)
    {
    }
    void addRules(const std::string &, const text::Value &)
    {
    }
    void addMapping(const std::string &, const text::Value &)
    {
    }
    std::shared_ptr<const RuleSet> finish()
    {
        return std::make_shared<RuleSet>();
    }

private:
    [[maybe_unused]] text::Problems &problems;
};
} // namespace figpulley::alerts
