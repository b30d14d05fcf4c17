#pragma once

#include "text/keyspec.h"
#include "text/problem.h"
#include "text/value.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::text
{
/// Checks an object against a section's table and reads its keys with their defaults.
///
/// Example:
/// ```
/// ObjectReader reader(file, value, limitSection, problems);
/// limit.initial = reader.integer("initial");
/// ```
class ObjectReader
{
public:
    /// Reports unknown keys (with the nearest known one), wrong types, values out of range and missing keys.
    /// @param file name for messages
    /// @param value the object
    /// @param section its table
    /// @param problems receives the errors
    ObjectReader(std::string file, const Value &value, const SectionSpec &section, Problems &problems);

    [[nodiscard]] bool boolean(std::string_view key) const;
    [[nodiscard]] std::int64_t integer(std::string_view key) const;
    [[nodiscard]] double number(std::string_view key) const;
    [[nodiscard]] std::string string(std::string_view key) const;
    [[nodiscard]] std::vector<std::string> strings(std::string_view key) const;

    /// @returns the objects of an array, or none
    [[nodiscard]] std::vector<const Value *> objects(std::string_view key) const;

    /// @returns the members of a map or an object, or none
    [[nodiscard]] std::vector<const Member *> members(std::string_view key) const;

    /// @returns the value as written, or nullptr if the default applies
    [[nodiscard]] const Value *find(std::string_view key) const noexcept;

    /// @returns where the key's value stands, or the object if it is absent
    [[nodiscard]] Position positionOf(std::string_view key) const noexcept;

    /// Adds an error at a key's value.
    void report(std::string_view key, std::string message) const;

private:
    void checkMember(const Member &member) const;
    void checkRange(const KeySpec &spec, const Member &member) const;
    [[nodiscard]] const KeySpec *specOf(std::string_view key) const noexcept;
    void addProblem(Position position, std::string message) const;

    std::string file;
    const Value &value;
    const SectionSpec &section;
    Problems &problems;
};

/// Finds the name closest to a misspelt one.
/// @param word the misspelt name
/// @param candidates names that are known
/// @returns the closest name, or an empty view if none is similar
[[nodiscard]] std::string_view nearest(std::string_view word, const std::vector<std::string_view> &candidates);
} // namespace figpulley::text
