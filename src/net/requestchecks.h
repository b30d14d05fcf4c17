#pragma once

#include "net/header.h"

namespace figpulley::net
{
/// Whether a request's body could be framed in two ways: that is how requests are smuggled past a proxy.
[[nodiscard]] bool hasAmbiguousLength(const Headers &headers);
} // namespace figpulley::net
