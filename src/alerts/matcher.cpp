#include "alerts/matcher.h"

namespace figpulley::alerts
{
Matcher::Matcher(std::string label, MatchKind kind, std::string pattern)
    : name(std::move(label))
    , how(kind)
    , wanted(std::move(pattern))
{
    if (kind == MatchKind::Regex || kind == MatchKind::NotRegex) {
        this->regex = std::make_shared<const std::regex>(this->wanted, std::regex::ECMAScript | std::regex::optimize);
    }
}

bool Matcher::matchesText(const std::string &text) const
{
    switch (this->how) {
    case MatchKind::Equal:
        return text == this->wanted;
    case MatchKind::NotEqual:
        return text != this->wanted;
    case MatchKind::Regex:
        return std::regex_match(text, *this->regex);
    case MatchKind::NotRegex:
        return !std::regex_match(text, *this->regex);
    }
    return false;
}

bool Matcher::matches(const Labels &labels) const
{
    return this->matchesText(labels.get(this->name));
}

bool Matcher::matchesEmpty() const
{
    return this->matchesText({});
}

const std::string &Matcher::label() const noexcept
{
    return this->name;
}

MatchKind Matcher::kind() const noexcept
{
    return this->how;
}

const std::string &Matcher::pattern() const noexcept
{
    return this->wanted;
}

Matcher Matcher::renamed(std::string label) const
{
    auto copy = *this;
    copy.name = std::move(label);
    return copy;
}
} // namespace figpulley::alerts
