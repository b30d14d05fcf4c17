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
/// One VM of an experiment: an upstream and the node next to it.
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

/// A deployment in one process over loopback: the stand-in platform, the stand-in upstreams, and real nodes on a few threads.
class Testbed
{
public:
    Testbed(const Deployment &deployment, const ExperimentOptions &options);
    ~Testbed();
    Testbed(const Testbed &) = delete;
    Testbed &operator=(const Testbed &) = delete;

    /// Applies the configuration files of the experiment and waits until every node has loaded them and knows all other nodes.
    /// @throws std::runtime_error if the files are refused or the nodes are not ready within 20 s
    void prepareNodes();

    /// Starts the VMs whose start the cold start scenario delays.
    void startDelayedVms();

    /// Multiplies the service times of all upstreams of a service.
    void setServiceTimeFactor(const std::string &service, double factor);

    [[nodiscard]] std::vector<net::Address> entrances() const;
    [[nodiscard]] net::Address findUpstream(const std::string &service) const;
    [[nodiscard]] standin::RunLog &log() noexcept;

    /// Returns the bytes of control datagrams that all nodes have sent.
    [[nodiscard]] std::uint64_t controlBytesSent();
    [[nodiscard]] std::size_t nodeCount() const noexcept;

private:
    void startVm(TestVm &vm, const ServiceModel &service, bool isCold);
    void applyFiles();
    [[nodiscard]] bool areNodesReady();

    const Deployment &deployment;
    ExperimentOptions options;
    standin::RunLog runLog;
    std::vector<std::unique_ptr<net::LoopThread>> threads;
    net::LoopThread *platformThread = nullptr;
    std::unique_ptr<standin::PlatformServer> platform;
    net::Address platformAddress;
    std::vector<std::unique_ptr<TestVm>> vms;
    std::string seedControlAddress;
    std::size_t startedNodes = 0;
};
} // namespace figpulley::bench
