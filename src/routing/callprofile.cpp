#include "routing/callprofile.h"

#include <cmath>

namespace figpulley::routing
{
namespace
{
constexpr double learningRate = 0.05; // a mean follows a change within some twenty runs
constexpr double minMean = 0.05;
constexpr double forgottenMean = 0.001;
} // namespace

void CallProfile::addRun(const CallReservation::Calls &calls)
{
    for (const auto &[service, count] : calls) {
        // The first run that calls a service is the best estimate there is.
        this->means.try_emplace(service, count);
    }
    for (auto &[service, mean] : this->means) {
        const auto found = calls.find(service);
        mean += learningRate * ((found == calls.end() ? 0 : found->second) - mean);
    }
    std::erase_if(this->means, [](const auto &entry) { return entry.second < forgottenMean; });
}

CallReservation::Calls CallProfile::expectedCalls() const
{
    CallReservation::Calls expected;
    for (const auto &[service, mean] : this->means) {
        if (mean >= minMean) {
            expected[service] = static_cast<int>(std::ceil(mean - minMean));
        }
    }
    std::erase_if(expected, [](const auto &entry) { return entry.second == 0; });
    return expected;
}
} // namespace figpulley::routing
