#pragma once

/// Umbrella header for the operators' files.
#include "config/configuration.h"
#include "config/filekind.h"
#include "config/fwd.h"
#include "config/limitalgorithm.h"
#include "config/load.h"
#include "config/overloadpolicy.h"
#include "config/requestpriorities.h"
#include "config/sourcefile.h"
