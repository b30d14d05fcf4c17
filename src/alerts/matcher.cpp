#include "alerts/matcher.h"

namespace figpulley::alerts
{
Matcher::Matcher(std::string label, MatchKind kind, std::string pattern)
    : labelName(std::move(label))
    , matchKind(kind)
    , matchPattern(std::move(pattern))
{
    if (kind == MatchKind::Regex || kind == MatchKind::NotRegex) {
        this->regex = std::make_shared<const std::regex>(this->matchPattern, std::regex::ECMAScript | std::regex::optimize);
    }
}

bool Matcher::matchesText(const std::string &text) const
{
    switch (this->matchKind) {
    case MatchKind::Equal:
        return text == this->matchPattern;
    case MatchKind::NotEqual:
        return text != this->matchPattern;
    case MatchKind::Regex:
        return std::regex_match(text, *this->regex);
    case MatchKind::NotRegex:
        return !std::regex_match(text, *this->regex);
    }
    return false;
}

bool Matcher::matches(const Labels &labels) const
{
    return this->matchesText(labels.get(this->labelName));
}

bool Matcher::matchesEmpty() const
{
    return this->matchesText({});
}

const std::string &Matcher::label() const noexcept
{
    return this->labelName;
}

MatchKind Matcher::kind() const noexcept
{
    return this->matchKind;
}

const std::string &Matcher::pattern() const noexcept
{
    return this->matchPattern;
}

Matcher Matcher::withLabel(std::string label) const
{
    auto copy = *this;
    copy.labelName = std::move(label);
    return copy;
}
} // namespace figpulley::alerts
