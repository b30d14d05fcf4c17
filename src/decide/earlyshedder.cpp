#include "decide/earlyshedder.h"

#include <chrono>
#include <cmath>

#include <xxhash.h>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

constexpr double responseWeight = 0.2; // weight of one response in the moving average
constexpr core::Duration thresholdValidity = 200ms; // time after the last response before the threshold decays
constexpr double decayHalfLifeSeconds = 0.2;
constexpr double minSheddingThreshold = 8; // rank; a lower threshold counts as 0

std::uint64_t pathKey(std::string_view route, std::string_view service)
{
    return XXH3_64bits_withSeed(service.data(), service.size(), XXH3_64bits(route.data(), route.size()));
}
} // namespace

core::Rank EarlyShedder::threshold(const board::Blackboard &board, std::string_view route, std::string_view service,
                                   core::TimePoint now) const
{
    const auto &paths = board.shed.read().paths;
    const auto found = paths.find(pathKey(route, service));
    if (found == paths.end()) {
        return {};
    }
    auto threshold = found->second.threshold;
    const auto age = now - found->second.updated;
    if (age > thresholdValidity) {
        threshold *= std::exp2(-core::toSeconds(age - thresholdValidity) / decayHalfLifeSeconds);
    }
    return core::Rank(threshold < minSheddingThreshold ? 0 : static_cast<std::uint32_t>(threshold));
}

bool EarlyShedder::shouldShed(const board::Blackboard &board, std::string_view route, std::string_view service, core::Rank rank,
                              core::TimePoint now) const
{
    return rank < this->threshold(board, route, service, now);
}

void EarlyShedder::recordThreshold(board::Blackboard &board, std::string_view route, std::string_view service, core::Rank threshold,
                                   core::TimePoint now) const
{
    const auto before = this->threshold(board, route, service, now);
    auto &path = board.shed.write().paths[pathKey(route, service)];
    path.threshold = before.value() + responseWeight * (static_cast<double>(threshold.value()) - before.value());
    path.updated = now;
}
} // namespace figpulley::decide
