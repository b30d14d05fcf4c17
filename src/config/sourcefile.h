#pragma once

#include <string>

namespace figpulley::config
{
/// Source of an operators' file: its name, which messages cite, and its text.
struct SourceFile
{
    std::string name;
    std::string text;
};
} // namespace figpulley::config
