#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::config
{
/// Kinds of operators' files; the first key of each file, `kind`, names one.
enum class FileKind : std::uint8_t {
    OverloadPolicy,
    RequestPriorities,
    AlertRules,
    MetricMapping,
};

/// Name of a kind as it stands in files.
[[nodiscard]] std::string_view name(FileKind kind) noexcept;

/// Finds a kind by its name.
[[nodiscard]] std::optional<FileKind> fileKindFromName(std::string_view name) noexcept;
} // namespace figpulley::config
