#include "mesh/departurenotices.h"

#include "core/log.h"
#include "discovery/neighbours.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/neighbourcontacts.h"
#include "mesh/updaters.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration answerTimeout = 400ms; // the endpoint accepts an acknowledgement only within 1 s
constexpr std::size_t maxAnswerBytes = 1024;
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpConflict = 409;
} // namespace

DepartureNotices::DepartureNotices(MeshContext context)
    : context(context)
{
}

DepartureNotices::Progress DepartureNotices::tell(const discovery::EndpointRecord &record, const std::function<void(Progress)> &onProgress)
{
    const auto &settings = this->context.settings;
    const auto successors = discovery::selectSuccessors(this->context.board.directory.read(), record.node, settings.availabilityZone);
    const auto progress = std::make_shared<Progress>(Progress {0, successors.size()});
    const auto text = discovery::encode(record);
    for (const auto &node : successors) {
        net::ClientRequest request;
        request.url = fmt::format("http://{}/", node);
        request.method = "POST";
        request.headers.push_back({header, "1"});
        request.body = text;
        request.timeout = answerTimeout;
        this->context.client.fetch(request, maxAnswerBytes,
                                   [node, id = record.id, progress, onProgress,
                                    token = std::weak_ptr<bool>(this->lifetimeToken)](const net::ClientResponse &response) {
                                       if (token.expired()) {
                                           return;
                                       }
                                       const bool isAnswered = response.result.kind == core::ErrorKind::None;
                                       const bool isConfirmed = isAnswered && response.head.status == httpOk;
                                       --progress->pending;
                                       progress->confirmed += isConfirmed ? 1 : 0;
                                       core::log(core::LogLevel::Info, "departure.told",
                                                 {{"endpoint", id},
                                                  {"node", node},
                                                  {"confirmed", isConfirmed ? "true" : "false"},
                                                  {"kind", std::string(core::errorProperties(response.result.kind).name)},
                                                  {"status", fmt::to_string(response.head.status)}});
                                       onProgress(*progress);
                                   });
    }
    return *progress;
}

void DepartureNotices::accept(DirectoryUpdater &directory, NeighbourContacts &contacts, net::HttpExchange &exchange)
{
    const auto record = discovery::decodeEndpointRecord(exchange.request().body);
    if (!record) {
        exchange.respond({httpBadRequest, {}, {}});
        return;
    }
    const bool isKnown = directory.applyTold(*record);
    if (isKnown) {
        contacts.keep(record->node);
    }
    exchange.respond({isKnown ? httpOk : httpConflict, {}, {}});
}
} // namespace figpulley::mesh
