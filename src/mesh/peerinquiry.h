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
    /// @param onAnswer called when the directory and the configuration have taken over what a peer has answered
    /// @param onEnded called once: when enough peers have answered, when all have failed, or when it takes too long
    PeerInquiry(MeshContext context, SnapshotExchange &snapshots, std::function<void()> onAnswer, std::function<void()> onEnded);
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
    void handleAnswer(bool hasConfig);
    void end(const char *cause);

    MeshContext context;
    SnapshotExchange &snapshots;
    std::function<void()> onAnswer;
    std::function<void()> onEnded;
    net::EventLoop::TimerId limitTimer = net::EventLoop::noTimer;
    std::size_t pendingPeers = 0; // number of peers that have neither answered nor failed
    std::size_t answers = 0; // number of peers that have sent a configuration
    bool isStarted = false;
    bool isEnded = false;
};
} // namespace figpulley::mesh
