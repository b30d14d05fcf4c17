#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Keeps the limit of the policy; the baseline that the others are measured against.
class FixedLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
