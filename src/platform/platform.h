#pragma once

/// Umbrella header of the platform's client.
#include "platform/fwd.h"
#include "platform/httpobjectstore.h"
#include "platform/objectstore.h"
