#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::sync
{
/// Name and content hash of one file.
struct PartReference
{
    std::string name;
    std::string hash;
    std::uint64_t size = 0; ///< bytes

    [[nodiscard]] bool operator==(const PartReference &) const = default;
};

/// The platform's root object: which files are in force together, and who applied them.
struct Manifest
{
    std::uint64_t revision = 0;
    std::string applyId; ///< random; tells an operator's own write from another's
    std::string appliedBy;
    std::string appliedAt; ///< UTC, ISO 8601
    std::string note;
    std::string summary; ///< what changed against the revision before
    std::vector<PartReference> parts; ///< by name

    [[nodiscard]] bool operator==(const Manifest &) const = default;
};

/// Difference between two sets of files.
struct ManifestDifference
{
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> removed;

    [[nodiscard]] bool isEmpty() const noexcept;

    /// Names with `+`, `~` or `-`, such as "+policy.json ~rules.json".
    [[nodiscard]] std::string toString() const;
};

/// Key of the root object.
inline constexpr std::string_view rootKey = "figpulley/root";

/// Key of a part by its hash.
[[nodiscard]] std::string partKey(std::string_view hash);

/// Key under which a revision's manifest is kept.
[[nodiscard]] std::string historyKey(std::uint64_t revision);

/// Content hash of a file: 128 bits in hexadecimal.
[[nodiscard]] std::string contentHash(std::string_view text);

[[nodiscard]] std::string encode(const Manifest &manifest);

/// @returns nothing if the text is not a manifest
[[nodiscard]] std::optional<Manifest> decodeManifest(std::string_view text);

[[nodiscard]] ManifestDifference differenceOf(const std::vector<PartReference> &before, const std::vector<PartReference> &after);
} // namespace figpulley::sync
