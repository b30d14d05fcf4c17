#pragma once

#include "core/errorkind.h"

#include <string>

#include <boost/leaf.hpp>

namespace figpulley::core
{
namespace leaf = boost::leaf;

/// Error message for the operator; Boost.LEAF carries it next to the ErrorKind.
struct ErrorDetail
{
    std::string text;
};

/// Creates a Boost.LEAF error from a kind and a message.
///
/// Example: `return failure(ErrorKind::NotFound, "no file " + path);`
[[nodiscard]] inline leaf::error_id failure(ErrorKind kind, std::string text)
{
    return leaf::new_error(kind, ErrorDetail {std::move(text)});
}
} // namespace figpulley::core
