#pragma once

/// Umbrella header of the discovery module.
#include "discovery/announcement.h"
#include "discovery/directory.h"
#include "discovery/endpointrecord.h"
#include "discovery/fwd.h"
#include "discovery/localendpoint.h"
#include "discovery/watchers.h"
