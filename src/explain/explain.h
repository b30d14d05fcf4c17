#pragma once

/// Umbrella header for tracing one request through the logs of the nodes.
#include "explain/fwd.h"
#include "explain/logline.h"
#include "explain/requesttrace.h"
