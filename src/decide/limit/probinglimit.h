#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Gradient algorithm that measures its baseline again with probes, short reductions of the limit, so that neither constant overload nor
/// a slower upstream distorts the baseline.
class ProbingLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
