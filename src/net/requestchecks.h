#pragma once

#include "net/header.h"

namespace figpulley::net
{
/// Returns whether the headers allow two readings of where the body ends, which makes request smuggling through a proxy possible.
[[nodiscard]] bool hasAmbiguousLength(const Headers &headers);
} // namespace figpulley::net
