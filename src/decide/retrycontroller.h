#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "core/time.h"

#include <string_view>

namespace figpulley::decide
{
/// Limits the rate of this node's retries to each service, in addition to the budgets of the root calls, and computes the backoff.
class RetryController
{
public:
    /// Takes a token for one retry from the service's token bucket.
    /// @returns false if the bucket is empty
    bool takeToken(board::Blackboard &board, std::string_view service, core::TimePoint now) const;

    /// Returns the wait before a retry: random between zero and a bound that doubles with each attempt up to a maximum.
    /// @param attempts attempts made so far, at least 1
    [[nodiscard]] static core::Duration backoffDelay(int attempts, core::Random &random);
};
} // namespace figpulley::decide
