#pragma once

/// Umbrella header for the reader of JSON with comments.
#include "text/fwd.h"
#include "text/keyspec.h"
#include "text/objectreader.h"
#include "text/parse.h"
#include "text/position.h"
#include "text/problem.h"
#include "text/value.h"
