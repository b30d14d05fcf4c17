#pragma once

/// Umbrella header of the controllers.
#include "decide/admissioncontroller.h"
#include "decide/attempttable.h"
#include "decide/callcontroller.h"
#include "decide/callstep.h"
#include "decide/configcontroller.h"
#include "decide/draincontroller.h"
#include "decide/earlyshedder.h"
#include "decide/endpointchooser.h"
#include "decide/fwd.h"
#include "decide/ingresscontroller.h"
#include "decide/ledger.h"
#include "decide/retrycontroller.h"
