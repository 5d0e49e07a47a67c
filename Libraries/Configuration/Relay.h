#pragma once

#include <Configuration/ChangeLog.h>
#include <Configuration/RelayCodec.h>

#include <Configuration/Actions.h>
#include <Core/Random.h>

#include <map>

namespace Chervilpin::Configuration {

/// Passes the configuration between peers, so that most nodes need no call to the platform.
///
/// A node pushes each change that is new to it to a few peers. Whoever learns from a heartbeat that
/// a peer is ahead fetches what is missing from it.
class Relay
{
public:
    Relay(const Settings &settings, ChangeLog &log, Core::Random &random);

    /// The peers that messages may go to.
    void setPeers(std::vector<Core::NodeName> peers);
    /// Asks some peers for the configuration until one has brought it or \a until is reached.
    void start(Core::Instant now, Core::Instant until, Actions &);
    /// Passes on changes that are new to this node.
    void push(const std::vector<std::string> &texts, Actions &);
    /// A peer has that configuration in force, as its heartbeat says.
    void peerStatus(const Core::NodeName &peer, Revision revision, std::uint64_t digest,
                    Core::Instant now, Actions &);
    void peerMessage(const Peer::Incoming &, Core::Instant now, Actions &);
    void tick(Core::Instant now, Actions &);

private:
    struct Assembly
    {
        Revision revision = 0;
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    void handle(const Core::NodeName &from, const RelayChanges &, Core::Instant now, Actions &);
    void handle(const Core::NodeName &from, const RelayAdvert &, Core::Instant now, Actions &);
    void handle(const Core::NodeName &from, const RelayFetch &, Core::Instant now, Actions &);
    void handle(const Core::NodeName &from, const RelaySnapshotPart &, Core::Instant now,
                Actions &);
    void fetch(const Core::NodeName &from, Core::Instant now, Actions &);
    void sendChanges(const Core::NodeName &to, const std::vector<std::string> &texts, Actions &);
    void sendSnapshot(const Core::NodeName &to, Actions &);
    void adoptAssembly(const Core::NodeName &from, Core::Instant now, Actions &);
    void askSomePeers(Core::Instant now, Actions &);
    [[nodiscard]] std::vector<Core::NodeName> choosePeers(std::size_t count);
    static void send(const Core::NodeName &to, const RelayMessage &, Actions &);

    const Settings &settings_;
    ChangeLog &log_;
    Core::Random &random_;
    std::vector<Core::NodeName> peers_;
    Core::Instant fetchUntil_; ///< No other fetch is made before.
    Core::Instant askUntil_;   ///< End of the time in which a starting node asks around.
    Core::Instant nextAskAt_;
    std::map<Core::NodeName, Core::Instant> snapshotSentAt_;
    Assembly assembly_;
};

} // namespace Chervilpin::Configuration
