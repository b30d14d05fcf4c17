#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Scales the limit by the ratio of the smallest latency seen to the present one.
class GradientLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
