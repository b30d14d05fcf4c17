#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Gradient whose baseline is measured anew by short reductions of the limit, so that a constant overload or a slower upstream cannot hide
/// it.
class ProbingLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
