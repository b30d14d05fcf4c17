#pragma once

#include "board/blackboard.h"

namespace figpulley::members
{
/// Derives the endpoints of each service from the membership.
class EndpointDirectory
{
public:
    /// Rebuilds the endpoints; cheap enough for every change of the membership.
    void rebuild(board::Blackboard &board) const;
};
} // namespace figpulley::members
