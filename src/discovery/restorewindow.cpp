#include "discovery/restorewindow.h"

#include <chrono>

namespace figpulley::discovery
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration timePerRewrite = 5ms; // 200 writes a second, half of the rate of the users' smallest store
// A node that notices the restore last, at the end of a watch, writes this long after the first one has listed the store.
constexpr core::Duration noticeTime = 3s;
} // namespace

core::Duration rewriteWindow(std::size_t lost) noexcept
{
    return timePerRewrite * static_cast<core::Duration::rep>(lost);
}

core::Duration confirmationTime(std::size_t lost) noexcept
{
    return noticeTime + rewriteWindow(lost);
}
} // namespace figpulley::discovery
