#pragma once

/// Umbrella header of what is known of endpoints.
#include "discovery/announcement.h"
#include "discovery/directory.h"
#include "discovery/endpointrecord.h"
#include "discovery/fwd.h"
#include "discovery/localendpoint.h"
#include "discovery/watchers.h"
