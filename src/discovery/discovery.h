#pragma once

/// Umbrella header of the discovery module.
#include "discovery/departurelist.h"
#include "discovery/directory.h"
#include "discovery/endpointrecord.h"
#include "discovery/fwd.h"
#include "discovery/heartbeat.h"
#include "discovery/localendpoint.h"
#include "discovery/localstate.h"
#include "discovery/neighbours.h"
#include "discovery/restorewindow.h"
#include "discovery/watchers.h"
