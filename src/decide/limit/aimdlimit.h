#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Adds a call while latency stays near its baseline; takes a tenth away when it does not.
class AimdLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
