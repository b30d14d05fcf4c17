#pragma once

/// Umbrella header of the network adapters.
#include "net/address.h"
#include "net/bodypipe.h"
#include "net/datagramsocket.h"
#include "net/eventloop.h"
#include "net/fwd.h"
#include "net/header.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
