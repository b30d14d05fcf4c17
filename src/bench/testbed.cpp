#include "bench/testbed.h"

#include "bench/benchfiles.h"
#include "sync/applyprocess.h"

#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>

namespace figpulley::bench
{
namespace
{
using namespace std::chrono_literals;

constexpr std::size_t nodeThreadCount = 4;
constexpr auto readyTimeout = 20s;
constexpr auto readyPollInterval = 50ms;
constexpr core::Duration platformTimeout = 3s;
const net::Address anyPort {"127.0.0.1", 0};
} // namespace

Testbed::Testbed(const Deployment &deployment, const ExperimentOptions &options)
    : deployment(deployment)
    , options(options)
{
    for (std::size_t at = 0; at < nodeThreadCount + 2; ++at) {
        this->threads.push_back(std::make_unique<net::LoopThread>());
    }
    this->platformThread = this->threads[nodeThreadCount].get();
    this->platformThread->call([this] {
        this->platform = std::make_unique<standin::PlatformServer>(this->platformThread->loop(), anyPort);
        this->platformAddress = this->platform->address();
    });
    for (const auto &service : deployment.services) {
        for (int endpoint = 0; endpoint < service.endpoints; ++endpoint) {
            auto vm = std::make_unique<TestVm>();
            vm->service = service.name;
            vm->zone = deployment.zones[static_cast<std::size_t>(endpoint) % deployment.zones.size()];
            vm->upstreamThread = this->threads[nodeThreadCount + 1].get();
            vm->nodeThread = this->threads[this->vms.size() % nodeThreadCount].get();
            const bool isDelayed =
                options.scenario == Scenario::ColdStart && service.name == deployment.deepService && endpoint + 1 == service.endpoints;
            if (!isDelayed) {
                this->startVm(*vm, service, false);
            }
            this->vms.push_back(std::move(vm));
        }
    }
}

Testbed::~Testbed()
{
    for (auto &vm : this->vms) {
        vm->nodeThread->call([&vm] { vm->node.reset(); });
        vm->upstreamThread->call([&vm] { vm->upstream.reset(); });
    }
    this->platformThread->call([this] { this->platform.reset(); });
    for (auto &thread : this->threads) {
        thread->stop();
    }
}

void Testbed::startVm(TestVm &vm, const ServiceModel &service, bool isCold)
{
    standin::UpstreamOptions upstream;
    upstream.slots = service.slots;
    upstream.connections = service.connections;
    standin::UpstreamRoute probe;
    probe.pathPrefix = "/probe";
    upstream.routes = {probe};
    upstream.routes.insert(upstream.routes.end(), service.routes.begin(), service.routes.end());
    upstream.maxNestedAttempts = this->options.control == ControlMode::PerHopRetries ? 3 : 1;
    upstream.reportsZeroLoad = this->options.scenario == Scenario::MisleadingLoadReport;
    upstream.coldStartTime = isCold ? core::Duration(3s) : core::Duration {};
    upstream.seed = this->options.seed * 1000 + this->startedNodes;
    vm.upstreamThread->call([&] {
        vm.upstream = std::make_unique<standin::UpstreamServer>(vm.upstreamThread->loop(), anyPort, upstream, &this->runLog);
        vm.upstreamAddress = vm.upstream->address();
    });
    node::NodeSettings settings;
    settings.availabilityZone = vm.zone;
    settings.service = service.name;
    settings.entrance = anyPort;
    settings.nested = anyPort;
    settings.ingress = anyPort;
    settings.control = anyPort;
    settings.upstream = vm.upstreamAddress;
    settings.platform = this->platformAddress;
    settings.keys.add("bench", "a secret for the bench only");
    settings.randomSeed = this->options.seed * 7919 + this->startedNodes + 1;
    settings.maxBodyBytes = 1UL << 20U;
    if (!this->seedControlAddress.empty()) {
        settings.seeds.push_back(this->seedControlAddress);
    }
    net::Address nested;
    vm.nodeThread->call([&] {
        vm.node = std::make_unique<node::Node>(vm.nodeThread->loop(), settings);
        vm.node->start();
        vm.entrance = vm.node->entranceAddress();
        nested = vm.node->nestedAddress();
        if (this->seedControlAddress.empty()) {
            this->seedControlAddress = vm.node->controlAddress().toString();
        }
    });
    vm.upstreamThread->call([&] { vm.upstream->setNestedProxy(nested); });
    ++this->startedNodes;
}

void Testbed::startDelayedVms()
{
    for (auto &vm : this->vms) {
        for (const auto &service : this->deployment.services) {
            if (!vm->node && service.name == vm->service) {
                this->startVm(*vm, service, true);
            }
        }
    }
}

void Testbed::applyFiles()
{
    net::LoopThread operatorThread;
    std::promise<sync::ApplyResult> done;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<store::HttpObjectStore> store;
    operatorThread.call([&] {
        client = std::make_unique<net::HttpClient>(operatorThread.loop());
        store = std::make_unique<store::HttpObjectStore>(*client, this->platformAddress.toString(), platformTimeout);
        sync::ApplyRequest request;
        request.files = makeBenchFiles(this->deployment, this->options);
        request.appliedBy = "bench";
        request.applyId = "bench";
        sync::ApplyProcess::start(*store, request, [&done](const sync::ApplyResult &result) { done.set_value(result); });
    });
    const auto result = done.get_future().get();
    operatorThread.call([&] {
        store.reset();
        client.reset();
    });
    if (result.kind != core::ErrorKind::None) {
        throw std::runtime_error("cannot apply the configuration files of the experiment: " + result.message);
    }
}

bool Testbed::areNodesReady()
{
    for (auto &vm : this->vms) {
        if (!vm->node) {
            continue;
        }
        const bool isReady = vm->nodeThread->call([&] {
            const auto &board = vm->node->board();
            const bool hasConfig = board.config.read().current && board.config.read().current->revision > 0;
            return hasConfig && board.membership.read().members.size() + 1 == this->startedNodes;
        });
        if (!isReady) {
            return false;
        }
    }
    return true;
}

void Testbed::prepareNodes()
{
    this->applyFiles();
    const auto deadline = std::chrono::steady_clock::now() + readyTimeout;
    while (!this->areNodesReady()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("the nodes did not load the configuration and discover all members within 20 s");
        }
        std::this_thread::sleep_for(readyPollInterval);
    }
}

void Testbed::setServiceTimeFactor(const std::string &service, double factor)
{
    for (auto &vm : this->vms) {
        if (vm->service == service && vm->upstream) {
            vm->upstreamThread->loop().post([upstream = vm->upstream.get(), factor] { upstream->setServiceTimeFactor(factor); });
        }
    }
}

std::vector<net::Address> Testbed::entrances() const
{
    std::vector<net::Address> addresses;
    for (const auto &vm : this->vms) {
        if (vm->node) {
            addresses.push_back(vm->entrance);
        }
    }
    return addresses;
}

net::Address Testbed::findUpstream(const std::string &service) const
{
    for (const auto &vm : this->vms) {
        if (vm->service == service) {
            return vm->upstreamAddress;
        }
    }
    throw std::runtime_error("deployment has no service named " + service);
}

standin::RunLog &Testbed::log() noexcept
{
    return this->runLog;
}

std::uint64_t Testbed::controlBytesSent()
{
    std::uint64_t bytes = 0;
    for (auto &vm : this->vms) {
        if (vm->node) {
            bytes += vm->nodeThread->call([&vm] { return vm->node->controlTraffic().bytesSent; });
        }
    }
    return bytes;
}

std::size_t Testbed::nodeCount() const noexcept
{
    return this->startedNodes;
}
} // namespace figpulley::bench
