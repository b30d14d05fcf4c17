#include "text/objectreader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>

#include <fmt/format.h>

namespace figpulley::text
{
namespace
{
constexpr std::array<std::string_view, 8> keyTypeNames {
    "boolean", "integer", "number", "string", "array of strings", "array of objects", "map", "object",
};

bool hasType(const Value &value, KeyType type)
{
    const auto *array = value.as<Array>();
    switch (type) {
    case KeyType::Boolean:
        return value.as<bool>() != nullptr;
    case KeyType::Integer:
        return value.as<double>() != nullptr && std::trunc(*value.as<double>()) == *value.as<double>();
    case KeyType::Number:
        return value.as<double>() != nullptr;
    case KeyType::String:
        return value.as<std::string>() != nullptr;
    case KeyType::Strings:
        return array != nullptr
            && std::all_of(array->begin(), array->end(), [](const Value &item) { return item.as<std::string>() != nullptr; });
    case KeyType::Objects:
        return array != nullptr
            && std::all_of(array->begin(), array->end(), [](const Value &item) { return item.as<Object>() != nullptr; });
    case KeyType::Map:
    case KeyType::Object:
        return value.as<Object>() != nullptr;
    }
    return false;
}

// Returns the number that a key's range applies to: the value itself, or the length of a string, array or object.
double rangedQuantity(const Value &value)
{
    if (const auto *number = value.as<double>()) {
        return *number;
    }
    if (const auto *string = value.as<std::string>()) {
        return static_cast<double>(string->size());
    }
    if (const auto *array = value.as<Array>()) {
        return static_cast<double>(array->size());
    }
    if (const auto *object = value.as<Object>()) {
        return static_cast<double>(object->size());
    }
    return 0;
}

// Computes the Levenshtein distance.
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const auto substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}
} // namespace

std::string_view name(KeyType type) noexcept
{
    return keyTypeNames[static_cast<std::size_t>(type)];
}

std::string_view findClosest(std::string_view word, const std::vector<std::string_view> &candidates)
{
    std::string_view best;
    auto bestDistance = word.size() / 2 + 2;
    for (const auto candidate : candidates) {
        const auto distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

ObjectReader::ObjectReader(std::string file, const Value &value, const SectionSpec &section, Problems &problems)
    : file(std::move(file))
    , value(value)
    , section(section)
    , problems(problems)
{
    const auto *object = value.as<Object>();
    if (object == nullptr) {
        this->addProblem(value.position(), fmt::format("{} must be an object, but is {}", section.name, value.typeName()));
        return;
    }
    for (const auto &member : *object) {
        this->checkMember(member);
    }
    for (const auto &spec : section.keys) {
        if (spec.isRequired() && value.find(spec.key) == nullptr) {
            this->addProblem(value.position(), fmt::format("{} lacks the key \"{}\"", section.name, spec.key));
        }
    }
}

void ObjectReader::checkMember(const Member &member) const
{
    const auto *spec = this->findSpec(member.key);
    if (spec == nullptr) {
        std::vector<std::string_view> known;
        for (const auto &candidate : this->section.keys) {
            known.push_back(candidate.key);
        }
        const auto guess = findClosest(member.key, known);
        const auto hint = guess.empty() ? std::string() : fmt::format("; did you mean \"{}\"?", guess);
        this->addProblem(member.keyPosition, fmt::format("unknown key \"{}\" in {}{}", member.key, this->section.name, hint));
        return;
    }
    if (!hasType(member.value, spec->type)) {
        this->addProblem(member.value.position(),
                         fmt::format("\"{}\" must be of type {}, but is {}", member.key, name(spec->type), member.value.typeName()));
        return;
    }
    this->checkRange(*spec, member);
}

void ObjectReader::checkRange(const KeySpec &spec, const Member &member) const
{
    const auto size = rangedQuantity(member.value);
    if (size >= spec.minimum && size <= spec.maximum) {
        return;
    }
    const auto *prefix = member.value.as<double>() != nullptr ? "" : "the length of ";
    this->addProblem(member.value.position(),
                     fmt::format("{}\"{}\" is {}, must be {} to {}", prefix, member.key, size, spec.minimum, spec.maximum));
}

const KeySpec *ObjectReader::findSpec(std::string_view key) const noexcept
{
    for (const auto &spec : this->section.keys) {
        if (spec.key == key) {
            return &spec;
        }
    }
    return nullptr;
}

const Value *ObjectReader::find(std::string_view key) const noexcept
{
    const auto *found = this->value.find(key);
    const auto *spec = this->findSpec(key);
    if (found == nullptr || spec == nullptr || !hasType(*found, spec->type)) {
        return nullptr;
    }
    return found;
}

Position ObjectReader::positionOf(std::string_view key) const noexcept
{
    const auto *found = this->value.find(key);
    return found != nullptr ? found->position() : this->value.position();
}

void ObjectReader::report(std::string_view key, std::string message) const
{
    this->addProblem(this->positionOf(key), std::move(message));
}

void ObjectReader::addProblem(Position position, std::string message) const
{
    this->problems.push_back({this->file, position, std::move(message)});
}

bool ObjectReader::boolean(std::string_view key) const
{
    if (const auto *found = this->find(key)) {
        return *found->as<bool>();
    }
    return this->findSpec(key)->defaultText == "true";
}

double ObjectReader::number(std::string_view key) const
{
    if (const auto *found = this->find(key)) {
        return *found->as<double>();
    }
    const auto text = this->findSpec(key)->defaultText;
    double number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::int64_t ObjectReader::integer(std::string_view key) const
{
    return static_cast<std::int64_t>(this->number(key));
}

std::string ObjectReader::string(std::string_view key) const
{
    if (const auto *found = this->find(key)) {
        return *found->as<std::string>();
    }
    const auto text = this->findSpec(key)->defaultText;
    return text.size() < 2 ? std::string() : std::string(text.substr(1, text.size() - 2));
}

std::vector<std::string> ObjectReader::strings(std::string_view key) const
{
    std::vector<std::string> result;
    if (const auto *found = this->find(key)) {
        for (const auto &item : *found->as<Array>()) {
            result.push_back(*item.as<std::string>());
        }
    }
    return result;
}

std::vector<const Value *> ObjectReader::objects(std::string_view key) const
{
    std::vector<const Value *> result;
    if (const auto *found = this->find(key)) {
        for (const auto &item : *found->as<Array>()) {
            result.push_back(&item);
        }
    }
    return result;
}

std::vector<const Member *> ObjectReader::members(std::string_view key) const
{
    std::vector<const Member *> result;
    if (const auto *found = this->find(key)) {
        for (const auto &member : *found->as<Object>()) {
            result.push_back(&member);
        }
    }
    return result;
}
} // namespace figpulley::text
