#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "core/time.h"

#include <string_view>

namespace figpulley::decide
{
/// Caps this node's retries towards each service, besides the budgets of the roots, and spaces them.
class RetryController
{
public:
    /// Takes a token for one retry.
    /// @returns false if the service's bucket is empty
    bool take(board::Blackboard &board, std::string_view service, core::TimePoint now) const;

    /// Wait before a retry: random between zero and a bound that doubles with each attempt.
    /// @param attempts attempts made so far, at least 1
    [[nodiscard]] static core::Duration backoff(int attempts, core::Random &random);
};
} // namespace figpulley::decide
