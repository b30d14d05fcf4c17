#pragma once

/// Umbrella header of the stand-ins.
#include "standin/fwd.h"
#include "standin/objecttable.h"
#include "standin/platformserver.h"
#include "standin/runlog.h"
#include "standin/upstreamserver.h"
