#include "net/bodypipe.h"

#include <algorithm>
#include <cstring>

namespace figpulley::net
{
bool BodyPipe::push(std::string_view bytes)
{
    this->buffer.append(bytes);
    if (this->onReadable) {
        this->onReadable();
    }
    this->wasFull = this->buffer.size() - this->offset >= highWaterMark;
    return !this->wasFull;
}

std::size_t BodyPipe::pull(char *target, std::size_t size)
{
    const auto copied = std::min(size, this->buffer.size() - this->offset);
    std::memcpy(target, this->buffer.data() + this->offset, copied);
    this->offset += copied;
    if (this->offset == this->buffer.size()) {
        this->buffer.clear();
        this->offset = 0;
    } else if (this->offset >= highWaterMark) {
        this->buffer.erase(0, this->offset);
        this->offset = 0;
    }
    const bool isLow = this->buffer.size() - this->offset < highWaterMark / 2;
    if (this->wasFull && isLow) {
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
    return this->offset == this->buffer.size();
}

bool BodyPipe::isComplete() const noexcept
{
    return this->complete;
}
} // namespace figpulley::net
