#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace figpulley::net
{
/// Buffers a message body between a producer and a consumer of different speed, and signals the producer to pause when the buffer is
/// full. All pipes of the process share its memory: the more there are, the fewer bytes each of them buffers.
class BodyPipe
{
public:
    BodyPipe() noexcept;
    ~BodyPipe();
    BodyPipe(const BodyPipe &) = delete;
    BodyPipe &operator=(const BodyPipe &) = delete;

    /// Returns the number of buffered bytes from which a producer should pause.
    [[nodiscard]] static std::size_t highWaterMark() noexcept;

    /// Appends bytes to the buffer.
    /// @returns false if the producer should pause until onSpaceAvailable is called
    bool push(std::string_view bytes);

    /// Moves up to `size` bytes from the buffer to `target`.
    /// @returns the number of bytes moved; 0 if the buffer is empty
    std::size_t pull(char *target, std::size_t size);

    /// Marks the end of the body.
    /// @param isBodyComplete false if the producer failed before the end of the body
    void finish(bool isBodyComplete);

    /// Reports that the consumer stopped reading; calls onAbandoned unless the body has ended.
    void abandon();

    [[nodiscard]] bool isFinished() const noexcept; ///< whether finish() was called
    [[nodiscard]] bool isEmpty() const noexcept; ///< whether no bytes are buffered
    [[nodiscard]] bool isComplete() const noexcept; ///< whether the producer has delivered the whole body

    std::function<void()> onReadable; ///< called when bytes or the end of the body have arrived
    std::function<void()> onSpaceAvailable; ///< called when a full buffer has drained below half of the high-water mark
    std::function<void()> onAbandoned; ///< called when the consumer stops reading before the end

private:
    std::deque<std::string> blocks;
    std::size_t offset = 0; // number of bytes of the first block that were pulled
    std::size_t buffered = 0; // number of bytes in all blocks that were not pulled
    bool wasFull = false;
    bool finished = false;
    bool complete = false;
};
} // namespace figpulley::net
