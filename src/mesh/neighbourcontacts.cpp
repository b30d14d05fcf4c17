#include "mesh/neighbourcontacts.h"

#include "core/log.h"
#include "discovery/neighbours.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "text/fieldlist.h"

#include <chrono>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr std::size_t greetingFieldCount = 2;
constexpr core::Duration updateInterval = 2s;
// Time after which an open contact is answered and sent again. A VM without power is noticed by then.
constexpr core::Duration renewalInterval = 2s;
constexpr core::Duration answerMargin = 500ms; // for the round trip and for a busy neighbour
constexpr core::Duration connectTimeout = 300ms;
// A node that starts waits 1 s for its neighbours before it relies on its endpoint alone.
constexpr core::Duration retryInterval = 250ms;
constexpr core::Duration slowRetryInterval = 5s;
constexpr core::Duration restartTime = 30s; // a neighbour that stays away longer is retried less often
constexpr std::size_t maxAnswerBytes = 1024;
constexpr std::size_t maxHeld = 256; // other nodes' directories may differ, but not in many successors
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpServiceUnavailable = 503;
} // namespace

std::string encode(const ContactGreeting &greeting)
{
    text::FieldWriter fields;
    fields.add(greeting.node);
    fields.add(greeting.configVersion);
    return fields.take();
}

std::optional<ContactGreeting> decodeContactGreeting(std::string_view text)
{
    const auto fields = text::splitFields<greetingFieldCount>(text);
    if (!fields) {
        return std::nullopt;
    }
    ContactGreeting greeting;
    greeting.node = text::unescape((*fields)[0]);
    const auto address = net::parseAddress(greeting.node);
    const bool isValid = address && address->port != 0 && text::readNumber((*fields)[1], greeting.configVersion);
    return isValid ? std::optional(std::move(greeting)) : std::nullopt;
}

NeighbourContacts::NeighbourContacts(MeshContext context, std::function<void(const ContactGreeting &)> onContact)
    : context(context)
    , onContact(std::move(onContact))
{
}

NeighbourContacts::~NeighbourContacts()
{
    this->context.loop.cancel(this->updateTimer);
    for (const auto &[node, contact] : this->contacts) {
        this->context.loop.cancel(contact.retryTimer);
    }
    for (const auto &waiting : this->held) {
        this->context.loop.cancel(waiting.timer);
        waiting.exchange->onCancelled(nullptr);
    }
}

void NeighbourContacts::start()
{
    this->update();
}

void NeighbourContacts::update()
{
    std::set<std::string> predecessors;
    const auto own = this->context.settings.ingress.toString();
    for (const auto *known : discovery::selectPredecessors(this->context.board.directory.read(), own)) {
        const auto &node = known->record.node;
        predecessors.insert(node);
        if (known->record.state != discovery::EndpointState::Gone && this->contacts.try_emplace(node).second) {
            this->open(node);
        }
    }
    std::erase_if(this->contacts, [&](const auto &entry) {
        const auto *known = this->context.board.directory.read().find(entry.first);
        const bool isGone = known == nullptr || known->record.state == discovery::EndpointState::Gone;
        const bool isDropped = (isGone || !predecessors.contains(entry.first)) && !this->isNeeded(entry.second);
        if (isDropped) {
            this->context.loop.cancel(entry.second.retryTimer);
        }
        return isDropped;
    });
    this->updateTimer = this->context.loop.callAfter(updateInterval, [this] { this->update(); });
}

bool NeighbourContacts::isNeeded(const Contact &contact) const
{
    return contact.isKept && !(contact.isFailing && core::steadyNow() - contact.failingSince > restartTime);
}

void NeighbourContacts::keep(const std::string &node)
{
    const auto [position, isNew] = this->contacts.try_emplace(node);
    position->second.isKept = true;
    if (isNew) {
        this->open(node);
    }
}

void NeighbourContacts::open(const std::string &node)
{
    auto &contact = this->contacts.at(node);
    if (std::exchange(contact.isSending, true)) {
        return;
    }
    const auto &table = this->context.board.config.read().table;
    net::ClientRequest request;
    request.url = fmt::format("http://{}/", node);
    request.headers.push_back({header, encode({this->context.settings.ingress.toString(), table ? table->version() : 0})});
    request.timeout = renewalInterval + answerMargin;
    request.connectTimeout = connectTimeout;
    this->context.client.fetch(request, maxAnswerBytes,
                               [this, node, token = std::weak_ptr<bool>(this->lifetimeToken)](const net::ClientResponse &response) {
                                   if (!token.expired()) {
                                       const bool isAnswered = response.result.kind == core::ErrorKind::None;
                                       this->handleEnd(node, isAnswered && response.head.status == httpOk);
                                   }
                               });
}

void NeighbourContacts::handleEnd(const std::string &node, bool isRenewal)
{
    const auto found = this->contacts.find(node);
    if (found == this->contacts.end()) {
        return;
    }
    auto &contact = found->second;
    contact.isSending = false;
    if (isRenewal) {
        contact.isFailing = false;
        this->open(node);
        return;
    }
    const auto now = core::steadyNow();
    if (!std::exchange(contact.isFailing, true)) {
        contact.failingSince = now;
        core::log(core::LogLevel::Info, "contact.lost", {{"node", node}});
    }
    const auto delay = now - contact.failingSince > restartTime ? slowRetryInterval : retryInterval;
    contact.retryTimer = this->context.loop.callAfter(delay, [this, node] {
        this->contacts.at(node).retryTimer = net::EventLoop::noTimer;
        this->open(node);
    });
}

void NeighbourContacts::accept(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto greeting = decodeContactGreeting(net::findHeader(exchange->request().headers, header));
    if (!greeting) {
        exchange->respond({httpBadRequest, {}, {}});
        return;
    }
    if (this->isClosed || this->held.size() >= maxHeld) {
        exchange->respond({httpServiceUnavailable, {}, {}});
        return;
    }
    const auto position = this->held.insert(this->held.end(), {exchange});
    position->timer = this->context.loop.callAfter(renewalInterval, [this, position] {
        position->timer = net::EventLoop::noTimer;
        const auto ended = position->exchange;
        this->release(position);
        ended->respond({httpOk, {}, {}});
    });
    exchange->onCancelled([this, position] { this->release(position); });
    this->onContact(*greeting);
}

void NeighbourContacts::release(std::list<HeldExchange>::iterator position)
{
    this->context.loop.cancel(position->timer);
    this->held.erase(position);
}

void NeighbourContacts::close()
{
    this->isClosed = true;
    while (!this->held.empty()) {
        const auto ended = this->held.front().exchange;
        this->release(this->held.begin());
        ended->respond({httpServiceUnavailable, {}, {}});
    }
}
} // namespace figpulley::mesh
