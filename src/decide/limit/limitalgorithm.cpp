#include "decide/limit/limitalgorithm.h"

#include "decide/limit/aimdlimit.h"
#include "decide/limit/fixedlimit.h"
#include "decide/limit/gradientlimit.h"
#include "decide/limit/pidlimit.h"
#include "decide/limit/probinglimit.h"

namespace figpulley::decide
{
const LimitAlgorithm &limitAlgorithmFor(config::LimitAlgorithm algorithm) noexcept
{
    static const ProbingLimit probing;
    static const GradientLimit gradient;
    static const AimdLimit aimd;
    static const PidLimit pid;
    static const FixedLimit fixed;
    switch (algorithm) {
    case config::LimitAlgorithm::Probing:
        return probing;
    case config::LimitAlgorithm::Gradient:
        return gradient;
    case config::LimitAlgorithm::Aimd:
        return aimd;
    case config::LimitAlgorithm::Pid:
        return pid;
    case config::LimitAlgorithm::Fixed:
        return fixed;
    }
    return probing;
}
} // namespace figpulley::decide
