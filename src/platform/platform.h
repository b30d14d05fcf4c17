#pragma once

/// Umbrella header of the platform adapter.
#include "platform/fwd.h"
#include "platform/platformstore.h"
#include "platform/platformwireformat.h"
