#pragma once

#include "net/loopthread.h"
#include "node/node.h"
#include "standin/objecttable.h"
#include "standin/platformserver.h"
#include "standin/upstreamserver.h"
#include "support/boards.h"
#include "sync/applyprocess.h"

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>

namespace figpulley::tests
{
/// Runs two nodes, of the services motivi and commesse, with their upstreams and a platform stand-in on one thread, connected by real
/// sockets.
class TwoNodeMesh
{
public:
    TwoNodeMesh()
    {
        core::setLogLevel(core::LogLevel::Error);
        this->thread.call([this] {
            this->platform = std::make_unique<standin::PlatformServer>(this->thread.loop(), anyPort());
            this->client = std::make_unique<net::HttpClient>(this->thread.loop());
            this->store =
                std::make_unique<store::HttpObjectStore>(*this->client, this->platform->address().toString(), std::chrono::seconds(5));
            sync::ApplyRequest request;
            request.files = {{"policy.json", testPolicy}, {"priorities.json", testPriorities}};
            request.applyId = "test";
            sync::ApplyProcess::start(*this->store, request, [](const sync::ApplyResult &) {});
            this->add("motivi");
            this->add("commesse");
        });
        this->waitUntil([this] {
            for (const auto &[service, vm] : this->vms) {
                const auto &board = vm.node->board();
                if (board.config.read().current->revision == 0 || board.membership.read().members.empty()) {
                    return false;
                }
            }
            return true;
        });
    }

    ~TwoNodeMesh()
    {
        this->thread.call([this] {
            this->vms.clear();
            this->store.reset();
            this->client.reset();
            this->platform.reset();
        });
    }

    TwoNodeMesh(const TwoNodeMesh &) = delete;
    TwoNodeMesh &operator=(const TwoNodeMesh &) = delete;

    [[nodiscard]] net::Address entrance(const std::string &service)
    {
        return this->thread.call([&] { return this->vms.at(service).node->entranceAddress(); });
    }

    [[nodiscard]] net::Address ingress(const std::string &service)
    {
        return this->thread.call([&] { return this->vms.at(service).node->ingressAddress(); });
    }

    [[nodiscard]] net::Address control(const std::string &service)
    {
        return this->thread.call([&] { return this->vms.at(service).node->controlAddress(); });
    }

    void waitForRunning(const std::string &service, int count)
    {
        this->waitUntil([&, count] { return this->vms.at(service).node->board().admission.read().running == count; });
    }

    /// Begins an orderly stop of a service's node.
    /// @param stopped receives the number of requests that were cut
    void stop(const std::string &service, std::promise<std::size_t> &stopped)
    {
        this->thread.call([&] { this->vms.at(service).node->stop([&stopped](std::size_t cut) { stopped.set_value(cut); }); });
    }

private:
    struct Vm
    {
        std::unique_ptr<standin::UpstreamServer> upstream;
        std::unique_ptr<node::Node> node;
    };

    static net::Address anyPort()
    {
        return {"127.0.0.1", 0};
    }

    static standin::UpstreamRoute route(const std::string &prefix, int milliseconds, std::size_t bytes)
    {
        standin::UpstreamRoute route;
        route.pathPrefix = prefix;
        route.serviceTime = std::chrono::milliseconds(milliseconds);
        route.responseBytes = bytes;
        return route;
    }

    void add(const std::string &service)
    {
        auto &vm = this->vms[service];
        standin::UpstreamOptions upstream;
        upstream.routes = {route("/slow", 500, 10), route("/large", 1, 3000000), route("/", 1, 0)};
        vm.upstream = std::make_unique<standin::UpstreamServer>(this->thread.loop(), anyPort(), upstream, nullptr);
        node::NodeSettings settings;
        settings.availabilityZone = "mineo";
        settings.service = service;
        settings.entrance = settings.nested = settings.ingress = settings.control = anyPort();
        settings.upstream = vm.upstream->address();
        settings.platform = this->platform->address();
        settings.keys.add("test", "a secret for tests only");
        settings.randomSeed = 7;
        settings.maxBodyBytes = 1000000;
        if (!this->seedAddress.empty()) {
            settings.seeds.push_back(this->seedAddress);
        }
        vm.node = std::make_unique<node::Node>(this->thread.loop(), settings);
        vm.node->start();
        if (this->seedAddress.empty()) {
            this->seedAddress = vm.node->controlAddress().toString();
        }
    }

    void waitUntil(const std::function<bool()> &condition)
    {
        const auto deadline = core::steadyNow() + std::chrono::seconds(10);
        while (!this->thread.call(condition)) {
            cr_assert(core::steadyNow() < deadline, "the condition did not hold within 10 s");
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::unique_ptr<standin::PlatformServer> platform;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<store::HttpObjectStore> store;
    std::map<std::string, Vm> vms;
    std::string seedAddress; // control address of the first node, through which the second one joins
    net::LoopThread thread;
};
} // namespace figpulley::tests
