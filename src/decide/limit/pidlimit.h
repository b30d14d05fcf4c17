#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// PID controller of the ratio of the current latency to its baseline.
class PidLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
