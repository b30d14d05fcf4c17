#pragma once

#include <string>

namespace figpulley::config
{
/// One operators' file: its name for messages and its text as written.
struct SourceFile
{
    std::string name;
    std::string text;
};
} // namespace figpulley::config
