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

/// Content of the platform's root object: the set of files in force, and who applied them.
struct Manifest
{
    std::uint64_t revision = 0;
    std::string applyId; ///< random; distinguishes the writes of concurrent applies
    std::string appliedBy;
    std::string appliedAt; ///< UTC, ISO 8601
    std::string note;
    std::string summary; ///< differences from the previous revision
    std::vector<PartReference> parts; ///< sorted by name

    [[nodiscard]] bool operator==(const Manifest &) const = default;
};

/// Differences between two sets of files.
struct ManifestDifference
{
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> removed;

    [[nodiscard]] bool isEmpty() const noexcept;

    /// Returns the names prefixed with `+` for added, `~` for changed and `-` for removed files, such as "+policy.json ~rules.json".
    [[nodiscard]] std::string toString() const;
};

/// Key of the root object.
inline constexpr std::string_view rootKey = "figpulley/root";

/// Returns the key of the part with a content hash.
[[nodiscard]] std::string partKey(std::string_view hash);

/// Returns the key under which the manifest of a replaced revision is stored.
[[nodiscard]] std::string historyKey(std::uint64_t revision);

/// Returns the content hash of a file: 128 bits in hexadecimal.
[[nodiscard]] std::string contentHash(std::string_view text);

[[nodiscard]] std::string encode(const Manifest &manifest);

/// @returns the manifest, or nothing if the text is malformed
[[nodiscard]] std::optional<Manifest> decodeManifest(std::string_view text);

[[nodiscard]] ManifestDifference differenceOf(const std::vector<PartReference> &before, const std::vector<PartReference> &after);
} // namespace figpulley::sync
