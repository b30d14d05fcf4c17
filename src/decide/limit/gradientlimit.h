#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Scales the limit by the ratio of the minimum latency seen to the current latency.
class GradientLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
