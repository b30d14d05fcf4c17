#pragma once

/// Umbrella header of the alerts module.
#include "alerts/alerttracker.h"
#include "alerts/evaluator.h"
#include "alerts/expression.h"
#include "alerts/fwd.h"
#include "alerts/labels.h"
#include "alerts/metricmapping.h"
#include "alerts/parser.h"
#include "alerts/ruleset.h"
#include "alerts/samplestore.h"
