#pragma once

#include "core/errorkind.h"

#include <string>

#include <boost/leaf.hpp>

namespace figpulley::core
{
namespace leaf = boost::leaf;

/// What went wrong, in words for the operator; travels with an ErrorKind through Boost.LEAF.
struct ErrorDetail
{
    std::string text;
};

/// Makes a failed result.
///
/// Example: `return failure(ErrorKind::NotFound, "no file " + path);`
[[nodiscard]] inline leaf::error_id failure(ErrorKind kind, std::string text)
{
    return leaf::new_error(kind, ErrorDetail {std::move(text)});
}
} // namespace figpulley::core
