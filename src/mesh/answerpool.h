#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Texts of the responses to other nodes, from their encoding until the last connection has written them. Bounds their total size: while
/// the pool is full, no further text is encoded.
class AnswerPool
{
public:
    /// @param maxBytes total size from which the pool is full
    explicit AnswerPool(std::size_t maxBytes);
    ~AnswerPool();
    AnswerPool(const AnswerPool &) = delete;
    AnswerPool &operator=(const AnswerPool &) = delete;

    /// Whether no further text may be encoded. The total size exceeds the limit by at most the text that was added last.
    [[nodiscard]] bool isFull() const noexcept;

    /// Takes over a text that several connections may write. It counts until the last reference to it is released.
    [[nodiscard]] std::shared_ptr<const std::string> add(std::string text);

    /// Returns the total size of the texts that are still referred to, in bytes.
    [[nodiscard]] std::size_t bytes() const noexcept;

    /// Sets the callback that runs when a text is released and the pool is full no longer. It must not add texts itself.
    void setOnRoom(std::function<void()> callback);

private:
    struct State
    {
        std::size_t maxBytes = 0;
        std::size_t bytes = 0;
        std::function<void()> onRoom;
    };

    // Connections may release texts after the destruction of the pool.
    std::shared_ptr<State> state;
};
} // namespace figpulley::mesh
