#include "core/boundedlog.h"

#include <cerrno>

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace figpulley::core
{
namespace
{
constexpr std::size_t maxNoticeBytes = 64; // upper bound for the log.dropped line
}

BoundedLog::BoundedLog(int descriptor, std::size_t capacity)
    : descriptor(descriptor)
    , capacity(capacity)
{
    const int flags = fcntl(descriptor, F_GETFL);
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

BoundedLog::~BoundedLog()
{
    this->flush();
}

void BoundedLog::write(std::string_view line)
{
    const auto unwrittenBytes = this->buffer.size() - this->written;
    if (unwrittenBytes + line.size() + maxNoticeBytes > this->capacity) {
        ++this->dropped;
        return;
    }
    if (this->dropped != this->droppedReported) {
        this->buffer.append(fmt::format("level=warning event=log.dropped lines={}\n", this->dropped - this->droppedReported));
        this->droppedReported = this->dropped;
    }
    this->buffer.append(line);
}

void BoundedLog::flush()
{
    while (this->written < this->buffer.size()) {
        const auto size = ::write(this->descriptor, this->buffer.data() + this->written, this->buffer.size() - this->written);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            break;
        }
        this->written += static_cast<std::size_t>(size);
    }
    this->buffer.erase(0, this->written);
    this->written = 0;
}

bool BoundedLog::hasPendingLines() const noexcept
{
    return !this->buffer.empty();
}

std::uint64_t BoundedLog::droppedLines() const noexcept
{
    return this->dropped;
}
} // namespace figpulley::core
