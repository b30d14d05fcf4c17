#include "mesh/answerpool.h"

#include <utility>

namespace figpulley::mesh
{
AnswerPool::AnswerPool(std::size_t maxBytes)
    : state(std::make_shared<State>())
{
    this->state->maxBytes = maxBytes;
}

AnswerPool::~AnswerPool()
{
    this->state->onRoom = nullptr;
}

bool AnswerPool::isFull() const noexcept
{
    return this->state->bytes >= this->state->maxBytes;
}

std::shared_ptr<const std::string> AnswerPool::add(std::string text)
{
    const auto size = text.capacity();
    this->state->bytes += size;
    return {new std::string(std::move(text)), [pool = this->state, size](const std::string *released) {
                delete released;
                const bool wasFull = pool->bytes >= pool->maxBytes;
                pool->bytes -= size;
                if (wasFull && pool->bytes < pool->maxBytes && pool->onRoom) {
                    pool->onRoom();
                }
            }};
}

std::size_t AnswerPool::bytes() const noexcept
{
    return this->state->bytes;
}

void AnswerPool::setOnRoom(std::function<void()> callback)
{
    this->state->onRoom = std::move(callback);
}
} // namespace figpulley::mesh
