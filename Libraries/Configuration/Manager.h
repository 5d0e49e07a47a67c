#pragma once

#include <Configuration/LogReader.h>
#include <Configuration/Proposer.h>
#include <Configuration/Relay.h>
#include <Configuration/SnapshotWriter.h>

#include <set>
#include <span>

namespace Chervilpin::Configuration {

/// A live peer, as membership knows it.
struct PeerNode
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
};

/// Holds one node's configuration: reads and extends the platform's log, and passes it on to peers.
///
/// The caller hands over the returned actions: platform calls, whose replies come back by
/// platformReply(); messages to peers; snapshots to put in force; answers to proposals; events to
/// log. Revisions of Apply only grow.
class Manager
{
public:
    Manager(Settings settings, std::uint64_t seed);
    Manager(const Manager &) = delete;
    Manager &operator=(const Manager &) = delete;

    [[nodiscard]] Actions start(Core::Instant now);
    /// Calls are to be repeated about every 10 ms.
    [[nodiscard]] Actions tick(Core::Instant now);
    /// Replies to calls that nobody waits for are ignored.
    [[nodiscard]] Actions platformReply(const Platform::Reply &, Core::Instant now);
    [[nodiscard]] Actions peerMessage(const Peer::Incoming &, Core::Instant now);
    /// The peers that are live now; who watches the platform follows from them.
    [[nodiscard]] Actions setPeers(std::span<const PeerNode> peers, Core::Instant now);
    /// A peer has that configuration in force, as its heartbeat says.
    [[nodiscard]] Actions peerStatus(const Core::NodeName &peer, Revision revision,
                                     std::uint64_t digest, Core::Instant now);
    /// Asks for a change; a ProposalAnswer with its id follows exactly once.
    [[nodiscard]] Actions propose(Proposal, Core::Instant now);

    /// What would be answered to a proposal now, without proposing it.
    [[nodiscard]] ProposalAnswer check(const Proposal &) const;
    [[nodiscard]] const SnapshotPointer &snapshot() const { return log_.snapshot(); }
    [[nodiscard]] bool isWatching() const { return isWatching_; }

private:
    [[nodiscard]] Actions finish(Actions actions, Core::Instant now);
    [[nodiscard]] bool ranksAsWatcher(std::span<const PeerNode> peers) const;
    void reportFork(Revision, Actions &);

    Settings settings_;
    Core::Random random_;
    CallIds ids_;
    ChangeLog log_;
    LogReader reader_;
    Proposer proposer_;
    SnapshotWriter writer_;
    Relay relay_;
    std::set<Revision> reportedForks_;
    bool isWatching_ = false;
};

} // namespace Chervilpin::Configuration
