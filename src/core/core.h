#pragma once

/// Umbrella header of the core module.
#include "core/envelope.h"
#include "core/errorkind.h"
#include "core/fwd.h"
#include "core/ids.h"
#include "core/json.h"
#include "core/log.h"
#include "core/nametable.h"
#include "core/random.h"
#include "core/rank.h"
#include "core/time.h"
