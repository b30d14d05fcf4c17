#pragma once

/// Umbrella header of the blackboard.
#include "board/blackboard.h"
#include "board/fwd.h"
