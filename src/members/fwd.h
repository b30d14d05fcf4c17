#pragma once

/// Forward declarations of the membership protocol.
namespace figpulley::members
{
class EndpointDirectory;
class Swim;
struct Member;
struct SwimMessage;
} // namespace figpulley::members
