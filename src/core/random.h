#pragma once

#include <cstdint>
#include <random>

namespace figpulley::core
{
/// Random number generator. Callers pass it in, so that the same seed reproduces every decision.
using Random = std::mt19937_64;

/// Draws a uniformly distributed number in [0, 1).
[[nodiscard]] inline double uniform(Random &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/// Draws a uniformly distributed index below `size`.
/// @param size at least 1
[[nodiscard]] inline std::size_t uniformIndex(Random &random, std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}
} // namespace figpulley::core
