#include "decide/earlyshedder.h"

#include <chrono>
#include <cmath>

#include <xxhash.h>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

constexpr double answerWeight = 0.2; // of one answer in the moving average
constexpr core::Duration trustedFor = 200ms; // without a new answer
constexpr double halfLifeSeconds = 0.2; // of the threshold after that
constexpr double negligible = 8; // ranks; below it nothing is shed

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
    const auto silence = now - found->second.updated;
    if (silence > trustedFor) {
        threshold *= std::exp2(-core::toSeconds(silence - trustedFor) / halfLifeSeconds);
    }
    return core::Rank(threshold < negligible ? 0 : static_cast<std::uint32_t>(threshold));
}

bool EarlyShedder::isShed(const board::Blackboard &board, std::string_view route, std::string_view service, core::Rank rank,
                          core::TimePoint now) const
{
    return rank < this->threshold(board, route, service, now);
}

void EarlyShedder::learn(board::Blackboard &board, std::string_view route, std::string_view service, core::Rank threshold,
                         core::TimePoint now) const
{
    const auto before = this->threshold(board, route, service, now);
    auto &path = board.shed.write().paths[pathKey(route, service)];
    path.threshold = before.value() + answerWeight * (static_cast<double>(threshold.value()) - before.value());
    path.updated = now;
}
} // namespace figpulley::decide
