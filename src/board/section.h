#pragma once

#include <utility>

namespace figpulley::board
{
/// A part of the blackboard that every controller reads and only `Writer` changes.
///
/// Example: `Section<DrainState, decide::DrainController>` can be changed by DrainController alone.
template<class State, class Writer>
class Section
{
public:
    Section() = default;

    [[nodiscard]] const State &read() const noexcept
    {
        return this->state;
    }

private:
    friend Writer;

    [[nodiscard]] State &write() noexcept
    {
        return this->state;
    }

    State state {};
};
} // namespace figpulley::board
