#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Additive increase, multiplicative decrease: raises the limit by one while latency stays near its baseline and the limit is used,
/// and lowers it by a tenth on congestion.
class AimdLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
