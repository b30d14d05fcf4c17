#pragma once

#include "board/blackboard.h"

namespace figpulley::members
{
/// Derives the endpoints of each service from the membership.
class EndpointDirectory
{
public:
    /// Rebuilds the endpoints of all services. Cheap enough to run after every change of the membership.
    void rebuild(board::Blackboard &board) const;
};
} // namespace figpulley::members
