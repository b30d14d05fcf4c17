#pragma once

#include "bench/deployment.h"
#include "bench/experimentoptions.h"
#include "net/loopthread.h"
#include "node/node.h"
#include "standin/platformserver.h"
#include "standin/runlog.h"
#include "standin/upstreamserver.h"

#include <memory>
#include <string>
#include <vector>

namespace figpulley::bench
{
/// One VM of an experiment: an upstream and the node beside it.
struct TestVm
{
    std::string service;
    std::string zone;
    net::LoopThread *upstreamThread = nullptr;
    net::LoopThread *nodeThread = nullptr;
    std::unique_ptr<standin::UpstreamServer> upstream;
    std::unique_ptr<node::Node> node;
    net::Address entrance;
    net::Address upstreamAddress;
};

/// A deployment on loopback in one process: the stand-in platform, stand-in upstreams, and real nodes on a few threads.
class Testbed
{
public:
    Testbed(const Deployment &deployment, const ExperimentOptions &options);
    ~Testbed();
    Testbed(const Testbed &) = delete;
    Testbed &operator=(const Testbed &) = delete;

    /// Applies the experiment's files and waits until every node has them and knows every endpoint.
    /// @throws std::runtime_error if that takes longer than 20 s
    void settle();

    /// Starts the VM that a cold start holds back.
    void startHeldBack();

    void setSlowness(const std::string &service, double factor);

    [[nodiscard]] std::vector<net::Address> entrances() const;
    [[nodiscard]] net::Address upstreamOf(const std::string &service) const;
    [[nodiscard]] standin::RunLog &log() noexcept;

    /// Bytes of control datagrams sent by all nodes together.
    [[nodiscard]] std::uint64_t controlBytes();
    [[nodiscard]] std::size_t nodeCount() const noexcept;

private:
    void startVm(TestVm &vm, const ServiceModel &service, bool isCold);
    void apply();
    [[nodiscard]] bool isSettled();

    const Deployment &deployment;
    ExperimentOptions options;
    standin::RunLog runLog;
    std::vector<std::unique_ptr<net::LoopThread>> threads;
    net::LoopThread *platformThread = nullptr;
    std::unique_ptr<standin::PlatformServer> platform;
    net::Address platformAddress;
    std::vector<std::unique_ptr<TestVm>> vms;
    std::string firstControl;
    std::size_t started = 0;
};
} // namespace figpulley::bench
