#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace figpulley::net
{
/// Passes a body from a producer to a slower or faster consumer, with a bounded buffer between them.
class BodyPipe
{
public:
    /// Bytes above which the producer should pause.
    static constexpr std::size_t highWater = 256UL * 1024UL;

    /// Adds bytes.
    /// @returns false if the producer should pause until onSpace is called
    bool push(std::string_view bytes);

    /// Takes up to `size` bytes out.
    /// @returns the number taken; 0 if none is there
    std::size_t pull(char *target, std::size_t size);

    /// The producer has delivered everything, or has failed.
    void finish(bool isWhole);

    /// The consumer went away; the producer is told by onAbandoned.
    void abandon();

    [[nodiscard]] bool isFinished() const noexcept;
    [[nodiscard]] bool isEmpty() const noexcept; ///< no bytes wait to be taken
    [[nodiscard]] bool isWhole() const noexcept;

    std::function<void()> onReadable; ///< bytes or the end have arrived
    std::function<void()> onSpace; ///< the buffer is low again
    std::function<void()> onAbandoned; ///< nobody reads any more

private:
    std::string buffer;
    std::size_t offset = 0;
    bool wasFull = false;
    bool finished = false;
    bool whole = false;
};
} // namespace figpulley::net
