#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Controls the ratio of present latency to its baseline with a proportional, integral and derivative term.
class PidLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
