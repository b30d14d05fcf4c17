#pragma once

/// Umbrella header of the object stores.
#include "store/changelog.h"
#include "store/collectionstore.h"
#include "store/eracheckedstore.h"
#include "store/eratracker.h"
#include "store/fwd.h"
#include "store/httpobjectstore.h"
#include "store/objectstore.h"
#include "store/position.h"
