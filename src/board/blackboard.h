#pragma once

#include "board/admissionstate.h"
#include "board/attemptstate.h"
#include "board/callstate.h"
#include "board/configstate.h"
#include "board/drainstate.h"
#include "board/endpoint.h"
#include "board/ledgerstate.h"
#include "board/membershipstate.h"
#include "board/nodeidentity.h"
#include "board/retrystate.h"
#include "board/routingstate.h"
#include "board/section.h"
#include "board/shedstate.h"
#include "decide/fwd.h"
#include "members/fwd.h"

namespace figpulley::board
{
/// Shared state of the controllers of one node. Used from one thread only; contains no clock, socket or random source.
struct Blackboard
{
    NodeIdentity identity;
    Section<ConfigState, decide::ConfigController> config;
    Section<MembershipState, members::Swim> membership;
    Section<EndpointState, members::EndpointDirectory> endpoints;
    Section<CallTable, decide::CallController> calls;
    Section<AdmissionState, decide::AdmissionController> admission;
    Section<LedgerState, decide::Ledger> ledger;
    Section<RoutingState, decide::EndpointChooser> routing;
    Section<ShedState, decide::EarlyShedder> shed;
    Section<RetryState, decide::RetryController> retry;
    Section<AttemptState, decide::AttemptTable> attempts;
    Section<DrainState, decide::DrainController> drain;
};
} // namespace figpulley::board
