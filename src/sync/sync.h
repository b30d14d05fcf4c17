#pragma once

/// Umbrella header of configuration distribution.
#include "sync/applyprocess.h"
#include "sync/configrelay.h"
#include "sync/fwd.h"
#include "sync/manifest.h"
#include "sync/snapshot.h"
#include "sync/snapshotstore.h"
