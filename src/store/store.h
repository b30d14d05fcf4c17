#pragma once

/// Umbrella header of the object stores.
#include "store/fwd.h"
#include "store/httpobjectstore.h"
#include "store/objectstore.h"
