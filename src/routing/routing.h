#pragma once

/// Umbrella header of the routing module: routes, endpoint choice and retries.
#include "routing/attemptplan.h"
#include "routing/clienttimeouthistory.h"
#include "routing/endpointpicker.h"
#include "routing/fwd.h"
#include "routing/retrybudget.h"
#include "routing/routeset.h"
#include "routing/routetable.h"
#include "routing/splitpicker.h"
