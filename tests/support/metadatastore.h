#pragma once

#include "net/httpserver.h"
#include "net/query.h"
#include "platform/names.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace figpulley::tests
{
/// Stand-in for the platform's metadata store in its published format: objects by kind and name, one revision counter, conditions,
/// watches with discarded history, pages, and faults that a test switches on. To be used on its loop's thread.
class MetadataStore
{
public:
    /// What happens to calls while a test says so.
    enum class Fault : std::uint8_t {
        None,
        Busy, ///< answers 503 and does nothing
        Silent, ///< does nothing and answers nothing
        AnswerLost, ///< does it and answers nothing
    };

    MetadataStore(net::EventLoop &loop, const net::Address &address)
        : loop(loop)
        , server(loop, address, [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); })
    {
    }

    [[nodiscard]] net::Address address() const
    {
        return this->server.address();
    }

    /// Writes an object as the operator would, past all faults.
    void write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        this->store(kind, name, nlohmann::json::parse(spec));
    }

    /// Content of an object, or an empty text.
    [[nodiscard]] std::string read(const std::string &kind, const std::string &name) const
    {
        const auto found = this->objects.find({kind, name});
        return found == this->objects.end() ? std::string() : found->second.at(platform::names::spec).dump();
    }

    /// Forgets what watches could tell of the past, and cuts those that wait.
    void discardHistory()
    {
        this->history.clear();
        this->oldest = this->revision;
        for (auto &waiting : std::exchange(this->watches, {})) {
            waiting.exchange->respond({410, {}, "{}"});
        }
    }

    /// Watches that wait for a change now.
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return this->watches.size();
    }

    Fault fault = Fault::None;
    int pageSize = 500;
    int calls = 0;
    int writes = 0;
    int watchCalls = 0;

private:
    using Key = std::pair<std::string, std::string>;

    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    struct Watch
    {
        std::shared_ptr<net::HttpExchange> exchange;
        std::string kind;
        std::uint64_t after = 0;
        int number = 0;
    };

    void accept(std::shared_ptr<net::HttpExchange> exchange)
    {
        ++this->calls;
        if (this->fault == Fault::Busy) {
            exchange->respond({503, {}, "{}"});
            return;
        }
        if (this->fault == Fault::Silent) {
            this->unanswered.push_back(std::move(exchange));
            return;
        }
        auto path = exchange->request().path;
        path.erase(0, platform::names::objectsPath.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        const auto &method = exchange->request().method;
        if (method != "GET") {
            ++this->writes;
            this->change(exchange, method, kind, name);
        } else if (!name.empty()) {
            this->getOne(*exchange, kind, name);
        } else if (const auto after = net::findQueryNumber(exchange->request().query, platform::names::watchParameter)) {
            ++this->watchCalls;
            this->watch({exchange, kind, *after, this->watchCalls});
        } else {
            this->list(*exchange, kind);
        }
    }

    void getOne(net::HttpExchange &exchange, const std::string &kind, const std::string &name)
    {
        const auto found = this->objects.find({kind, name});
        if (found == this->objects.end()) {
            exchange.respond({404, {}, "{}"});
        } else {
            exchange.respond({200, {}, found->second.dump()});
        }
    }

    void list(net::HttpExchange &exchange, const std::string &kind)
    {
        const auto after = net::findQueryText(exchange.request().query, platform::names::afterParameter);
        auto items = nlohmann::json::array();
        bool hasMore = false;
        for (auto at = this->objects.upper_bound({kind, after}); at != this->objects.end() && at->first.first == kind; ++at) {
            hasMore = static_cast<int>(items.size()) == this->pageSize;
            if (hasMore) {
                break;
            }
            items.push_back(at->second);
        }
        exchange.respond({200, {}, nlohmann::json {{"items", items}, {"HasMore", hasMore}, {"CurrentRev", this->revision}}.dump()});
    }

    void watch(Watch watch)
    {
        if (watch.after < this->oldest) {
            watch.exchange->respond({410, {}, "{}"});
        } else if (!this->tell(watch)) {
            const auto wait = net::findQueryNumber(watch.exchange->request().query, platform::names::waitParameter).value_or(0);
            this->loop.callAfter(std::chrono::milliseconds(wait), [this, number = watch.number, held = std::weak_ptr<bool>(this->alive)] {
                if (!held.expired()) {
                    this->endWatch(number);
                }
            });
            this->watches.push_back(std::move(watch));
        }
    }

    // Tells a watch whose time is over that nothing has changed.
    void endWatch(int number)
    {
        std::erase_if(this->watches, [&](const Watch &watch) {
            const bool isOver = watch.number == number;
            if (isOver) {
                watch.exchange->respond(
                    {200, {}, nlohmann::json {{"events", nlohmann::json::array()}, {"CurrentRev", this->revision}}.dump()});
            }
            return isOver;
        });
    }

    bool tell(const Watch &watch)
    {
        auto events = nlohmann::json::array();
        for (const auto &change : this->history) {
            if (change.kind == watch.kind && change.revision > watch.after) {
                events.push_back(change.event);
            }
        }
        if (events.empty()) {
            return false;
        }
        watch.exchange->respond({200, {}, nlohmann::json {{"events", events}, {"CurrentRev", this->revision}}.dump()});
        return true;
    }

    void change(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &method, const std::string &kind,
                const std::string &pathName)
    {
        const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
        const auto name = method == "POST" ? body.at("Metadata").at("Name").get<std::string>() : pathName;
        const auto found = this->objects.find({kind, name});
        const bool isPresent = found != this->objects.end();
        const auto current = isPresent ? found->second.at("Metadata").at("Revision").get<std::uint64_t>() : 0;
        const auto wanted = body.at("Metadata").value("Revision", std::uint64_t {0});
        if (method == "PUT" && !isPresent) {
            exchange->respond({404, {}, "{}"});
            return;
        }
        const bool isConflict = (method == "POST" && isPresent) || (method == "PUT" && wanted != 0 && wanted != current);
        if (isConflict) {
            exchange->respond({409, {}, found->second.dump()});
            return;
        }
        const auto stored = this->store(kind, name, body.at("Spec"));
        if (this->fault == Fault::AnswerLost) {
            this->unanswered.push_back(exchange);
        } else {
            exchange->respond({200, {}, stored.dump()});
        }
    }

    nlohmann::json store(const std::string &kind, const std::string &name, nlohmann::json spec)
    {
        auto &object = this->objects[{kind, name}];
        const bool isSame = object.is_object() && object.at("Spec") == spec;
        if (isSame) {
            return object;
        }
        ++this->revision;
        object = {{"Metadata", {{"Name", name}, {"Revision", this->revision}, {"Finalizers", nlohmann::json::array()}}},
                  {"Spec", std::move(spec)},
                  {"Status", nullptr}};
        this->history.push_back({this->revision, kind, {{"Object", object}, {"Deleted", false}}});
        std::erase_if(this->watches, [this](const Watch &watch) { return this->tell(watch); });
        return object;
    }

    net::EventLoop &loop;
    std::map<Key, nlohmann::json> objects;
    std::deque<Change> history;
    std::vector<Watch> watches;
    std::vector<std::shared_ptr<net::HttpExchange>> unanswered;
    std::uint64_t revision = 1;
    std::uint64_t oldest = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // a timer may end after this object
    net::HttpServer server;
};
} // namespace figpulley::tests
