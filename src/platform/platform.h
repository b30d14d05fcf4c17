#pragma once

/// Umbrella header of the adapter to the users' platform.
#include "platform/fwd.h"
#include "platform/platformstore.h"
#include "platform/platformwire.h"
