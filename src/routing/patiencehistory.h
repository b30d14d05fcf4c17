#pragma once

#include "core/time.h"

#include <string>
#include <unordered_map>

namespace figpulley::routing
{
/// Tells how long clients have been at their requests already. A client says how much longer it will wait, and clients of a route begin
/// with the same patience, so one that comes back after a refusal is known by having less of it left.
class PatienceHistory
{
public:
    /// A client's attempt has arrived.
    /// @param patience how much longer the client will wait
    /// @returns time that it has spent on earlier attempts; zero for a first one
    [[nodiscard]] core::Duration spent(const std::string &route, core::Duration patience, core::TimePoint now);

private:
    struct Longest
    {
        core::Duration recent {};
        core::Duration earlier {};
        core::TimePoint since {};
    };

    std::unordered_map<std::string, Longest> routes;
};
} // namespace figpulley::routing
