#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::config
{
/// Kind of an operators' file, given by its key `kind`.
enum class FileKind : std::uint8_t {
    OverloadPolicy,
    RequestPriorities,
    AlertRules,
    MetricMapping,
};

/// Name of a kind, as written in files.
[[nodiscard]] std::string_view name(FileKind kind) noexcept;

/// Parses the name of a kind.
[[nodiscard]] std::optional<FileKind> fileKindFromName(std::string_view name) noexcept;
} // namespace figpulley::config
