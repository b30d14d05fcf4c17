#include "net/bodypipe.h"

#include <algorithm>
#include <atomic>

namespace figpulley::net
{
namespace
{
constexpr std::size_t maxHighWaterMark = 256UL * 1024UL;
constexpr std::size_t minHighWaterMark = 16UL * 1024UL;
// Sum of the high-water marks of all pipes, as long as each has its minimum. A producer writes up to one read buffer beyond its mark.
constexpr std::size_t sharedBytes = 16UL << 20U;

std::atomic<std::size_t> openPipes {0};
} // namespace

BodyPipe::BodyPipe() noexcept
{
    ++openPipes;
}

BodyPipe::~BodyPipe()
{
    --openPipes;
}

std::size_t BodyPipe::highWaterMark() noexcept
{
    return std::clamp(sharedBytes / std::max<std::size_t>(1, openPipes), minHighWaterMark, maxHighWaterMark);
}

bool BodyPipe::push(std::string_view bytes)
{
    if (!bytes.empty()) {
        this->blocks.emplace_back(bytes);
        this->buffered += bytes.size();
    }
    if (this->onReadable) {
        this->onReadable();
    }
    this->wasFull = this->buffered >= highWaterMark();
    return !this->wasFull;
}

std::size_t BodyPipe::pull(char *target, std::size_t size)
{
    std::size_t copied = 0;
    while (copied < size && !this->blocks.empty()) {
        const auto &block = this->blocks.front();
        const auto taken = std::min(size - copied, block.size() - this->offset);
        std::copy_n(block.data() + this->offset, taken, target + copied);
        copied += taken;
        this->offset += taken;
        if (this->offset == block.size()) {
            this->blocks.pop_front();
            this->offset = 0;
        }
    }
    this->buffered -= copied;
    if (this->wasFull && this->buffered < highWaterMark() / 2) {
        this->wasFull = false;
        if (this->onSpaceAvailable) {
            this->onSpaceAvailable();
        }
    }
    return copied;
}

void BodyPipe::finish(bool isBodyComplete)
{
    this->finished = true;
    this->complete = isBodyComplete;
    if (this->onReadable) {
        this->onReadable();
    }
}

void BodyPipe::abandon()
{
    if (!this->finished && this->onAbandoned) {
        this->onAbandoned();
    }
}

bool BodyPipe::isFinished() const noexcept
{
    return this->finished;
}

bool BodyPipe::isEmpty() const noexcept
{
    return this->buffered == 0;
}

bool BodyPipe::isComplete() const noexcept
{
    return this->complete;
}
} // namespace figpulley::net
