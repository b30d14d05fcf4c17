#include "alerts/labels.h"

#include <algorithm>

namespace figpulley::alerts
{
namespace
{
bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}
} // namespace

Labels::Labels(std::initializer_list<std::pair<const std::string, std::string>> items)
{
    for (const auto &[name, value] : items) {
        this->set(name, value);
    }
}

void Labels::set(std::string name, std::string value)
{
    if (value.empty()) {
        this->values.erase(name);
        return;
    }
    this->values.insert_or_assign(std::move(name), std::move(value));
}

void Labels::remove(std::string_view name)
{
    const auto found = this->values.find(name);
    if (found != this->values.end()) {
        this->values.erase(found);
    }
}

const std::string &Labels::get(std::string_view name) const noexcept
{
    static const std::string empty;
    const auto found = this->values.find(name);
    return found == this->values.end() ? empty : found->second;
}

Labels Labels::only(const std::vector<std::string> &names) const
{
    Labels result;
    for (const auto &[name, value] : this->values) {
        if (contains(names, name)) {
            result.values.emplace(name, value);
        }
    }
    return result;
}

Labels Labels::without(const std::vector<std::string> &names) const
{
    Labels result;
    for (const auto &[name, value] : this->values) {
        if (name != nameLabel && !contains(names, name)) {
            result.values.emplace(name, value);
        }
    }
    return result;
}

const std::map<std::string, std::string, std::less<>> &Labels::items() const noexcept
{
    return this->values;
}

std::string Labels::toString() const
{
    std::string text = this->get(nameLabel);
    std::string inner;
    for (const auto &[name, value] : this->values) {
        if (name != nameLabel) {
            inner.append(inner.empty() ? "" : ", ").append(name).append("=\"").append(value).append("\"");
        }
    }
    return inner.empty() && !text.empty() ? text : text + "{" + inner + "}";
}
} // namespace figpulley::alerts
