#pragma once

/// Umbrella header of what logs tell about one request.
#include "explain/fwd.h"
#include "explain/logline.h"
#include "explain/requeststory.h"
