#pragma once

/// Umbrella header of the admission control in front of one endpoint.
#include "gate/fwd.h"
#include "gate/ratelimiter.h"
#include "gate/slotqueue.h"
#include "gate/statedlimit.h"
