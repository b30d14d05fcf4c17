#pragma once

/// Umbrella header of the admission control in front of one endpoint.
#include "gate/fwd.h"
#include "gate/slotqueue.h"
