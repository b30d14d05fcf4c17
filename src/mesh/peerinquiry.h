#pragma once

#include "mesh/meshcontext.h"
#include "mesh/snapshotexchange.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace figpulley::mesh
{
/// Asks a few other nodes after the start for what the store may have lost by a restore, or cannot give now: the newest configuration and
/// the last record of the endpoint on this VM. Without it, a restarted node would go back to the configuration of the backup until the
/// operator has written again, and would take new requests for an endpoint whose departure was acknowledged. While the store cannot be
/// read, the nodes that open a contact to this one are asked, for the other nodes as well.
class PeerInquiry
{
public:
    /// Receives the ingress of a peer whose answer the directory and the configuration have taken over, whether it is a successor of this
    /// node, and for how long it has kept what it was told.
    using AnswerCallback = std::function<void(const std::string &node, bool isSuccessor, core::Duration keptFor)>;

    /// @param onEnded called once: when enough peers have answered, when all have failed, or when it takes too long
    PeerInquiry(MeshContext context, SnapshotExchange &snapshots, AnswerCallback onAnswer, std::function<void()> onEnded);
    ~PeerInquiry();
    PeerInquiry(const PeerInquiry &) = delete;
    PeerInquiry &operator=(const PeerInquiry &) = delete;

    /// Asks the peers, once the store has listed the directory. Later calls do nothing.
    void start();

    /// Asks a node that has opened a contact, unless the store has listed the directory or enough such nodes were asked.
    /// @returns whether the node is asked
    bool askNeighbour(const std::string &node);

    /// Ends the inquiry after a while even if the directory does not become known.
    void limitTime();

    [[nodiscard]] bool hasEnded() const noexcept;

private:
    struct Peer
    {
        std::string node;
        bool isSuccessor = false;
    };

    [[nodiscard]] std::vector<Peer> selectPeers() const;
    void handleAnswer(const Peer &peer, const SnapshotSummary &summary);
    void handleNeighbourAnswer(const std::string &node, const SnapshotSummary &summary);
    void end(const char *cause);

    MeshContext context;
    SnapshotExchange &snapshots;
    AnswerCallback onAnswer;
    std::function<void()> onEnded;
    net::EventLoop::TimerId limitTimer = net::EventLoop::noTimer;
    std::size_t pendingPeers = 0; // number of peers that have neither answered nor failed
    std::size_t answers = 0; // number of peers that have sent a configuration
    std::size_t successorAnswers = 0; // number of the successors among them
    std::set<std::string> askedNeighbours; // neighbours that have answered with a configuration or are being asked
    bool isStarted = false;
    bool isEnded = false;
};
} // namespace figpulley::mesh
