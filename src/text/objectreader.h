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
/// Validates an object against the specification of a section and reads its keys; absent keys have their default.
///
/// Example:
/// ```
/// ObjectReader reader(file, value, limitSection, problems);
/// limit.initial = reader.integer("initial");
/// ```
class ObjectReader
{
public:
    /// Validates the whole object: reports unknown keys (with the closest known one), wrong types, values out of range
    /// and missing keys.
    /// @param file name of the file, for messages
    /// @param value object to read; must outlive the reader
    /// @param section specification of its keys
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

    /// @returns the value in the file, or nullptr if the key is absent, unknown or of the wrong type
    [[nodiscard]] const Value *find(std::string_view key) const noexcept;

    /// @returns the position of the key's value, or of the object if the key is absent
    [[nodiscard]] Position positionOf(std::string_view key) const noexcept;

    /// Reports an error at the position of a key's value.
    void report(std::string_view key, std::string message) const;

private:
    void checkMember(const Member &member) const;
    void checkRange(const KeySpec &spec, const Member &member) const;
    [[nodiscard]] const KeySpec *findSpec(std::string_view key) const noexcept;
    void addProblem(Position position, std::string message) const;

    std::string file;
    const Value &value;
    const SectionSpec &section;
    Problems &problems;
};

/// Finds the known name that is closest to a misspelt one by edit distance.
/// @param word the misspelt name
/// @param candidates known names
/// @returns the closest name, or an empty view if none is similar
[[nodiscard]] std::string_view findClosest(std::string_view word, const std::vector<std::string_view> &candidates);
} // namespace figpulley::text
