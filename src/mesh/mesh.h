#pragma once

/// Umbrella header of a node that finds its peers through the object store.
#include "mesh/fwd.h"
#include "mesh/meshnode.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"
