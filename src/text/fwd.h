#pragma once

/// Forward declarations for the reader of JSON with comments.
namespace figpulley::text
{
class ObjectReader;
struct KeySpec;
struct Member;
struct Position;
struct Problem;
class Value;
} // namespace figpulley::text
