#pragma once

#include "net/header.h"

namespace figpulley::net
{
/// Returns whether the headers define the end of the body ambiguously, which makes request smuggling through a proxy possible.
[[nodiscard]] bool hasAmbiguousLength(const Headers &headers);
} // namespace figpulley::net
