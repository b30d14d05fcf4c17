#pragma once

/// Forward declarations of membership.
namespace figpulley::members
{
class EndpointDirectory;
class Swim;
struct Member;
struct SwimMessage;
} // namespace figpulley::members
