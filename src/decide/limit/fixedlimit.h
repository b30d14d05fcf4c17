#pragma once

#include "decide/limit/limitalgorithm.h"

namespace figpulley::decide
{
/// Keeps the initial limit of the policy. Serves as the baseline that the adaptive algorithms are compared with.
class FixedLimit : public LimitAlgorithm
{
public:
    [[nodiscard]] double nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy &policy) const override;
};
} // namespace figpulley::decide
