#pragma once

/// Umbrella header of the membership protocol.
#include "members/endpointdirectory.h"
#include "members/fwd.h"
#include "members/member.h"
#include "members/rendezvous.h"
#include "members/swim.h"
#include "members/swimmessage.h"
#include "members/swimoptions.h"
#include "members/zonedigest.h"
