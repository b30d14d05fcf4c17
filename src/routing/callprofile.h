#pragma once

#include "routing/callreservation.h"

#include <map>
#include <string>

namespace figpulley::routing
{
/// How many calls a run of the endpoint on this VM makes on average, by the service that is called.
class CallProfile
{
public:
    /// Adds the calls of a run that has ended with a response.
    void addRun(const CallReservation::Calls &calls);

    /// Calls that a further run is expected to make, rounded up. Services that few runs call are left out.
    [[nodiscard]] CallReservation::Calls expectedCalls() const;

private:
    std::map<std::string, double> means;
};
} // namespace figpulley::routing
