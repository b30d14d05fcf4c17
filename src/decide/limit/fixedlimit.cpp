#include "decide/limit/fixedlimit.h"

namespace figpulley::decide
{
double FixedLimit::nextLimit(board::LimitState & /*state*/, const LimitWindow & /*window*/, const config::ServicePolicy &policy) const
{
    return policy.limitInitial;
}
} // namespace figpulley::decide
