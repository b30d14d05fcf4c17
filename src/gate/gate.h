#pragma once

/// Umbrella header of the admission to one endpoint.
#include "gate/fwd.h"
#include "gate/slotqueue.h"
