#pragma once

#include "mesh/meshcontext.h"
#include "mesh/snapshotexchange.h"

#include <functional>
#include <string>
#include <vector>

namespace figpulley::mesh
{
/// Asks a few other nodes, once after the start, for what a restore of the store may have lost: the newest configuration and the last
/// record of the endpoint on this VM. Without it, a restarted node would go back to the configuration of the backup until the operator
/// has written again, and would take new requests for an endpoint whose departure was acknowledged.
class PeerInquiry
{
public:
    /// @param onEnded called when the peers have answered or failed, when there are none, or when it takes too long; called again if they
    /// answer after the time limit
    PeerInquiry(MeshContext context, SnapshotExchange &snapshots, std::function<void()> onEnded);
    ~PeerInquiry();
    PeerInquiry(const PeerInquiry &) = delete;
    PeerInquiry &operator=(const PeerInquiry &) = delete;

    /// Asks the peers, once the directory is known. Later calls do nothing.
    void start();

    /// Ends the inquiry after a while even if the directory does not become known.
    void limitTime();

    [[nodiscard]] bool hasEnded() const noexcept;

private:
    [[nodiscard]] std::vector<std::string> selectPeers() const;
    void end(const char *cause);

    MeshContext context;
    SnapshotExchange &snapshots;
    std::function<void()> onEnded;
    net::EventLoop::TimerId limitTimer = net::EventLoop::noTimer;
    bool isStarted = false;
    bool isEnded = false;
};
} // namespace figpulley::mesh
