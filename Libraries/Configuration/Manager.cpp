#include <Configuration/Manager.h>

#include <Core/Rank.h>

#include <algorithm>

namespace Chervilpin::Configuration {

namespace {

constexpr Core::Duration askAroundFor(10'000); ///< How long a starting node asks peers.
constexpr std::size_t maxReportedForks = 64;

} // namespace

Manager::Manager(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , random_(seed)
    , log_(settings_.guards, settings_.heldChanges)
    , reader_(settings_, log_, ids_)
    , proposer_(settings_, log_, ids_)
    , writer_(settings_, log_, ids_)
    , relay_(settings_, log_, random_)
{ }

Actions Manager::start(Core::Instant now)
{
    Actions actions;
    relay_.start(now, now + askAroundFor, actions);
    reader_.start(now + settings_.peerStartGrace);
    return finish(std::move(actions), now);
}

Actions Manager::tick(Core::Instant now)
{
    Actions actions;
    relay_.tick(now, actions);
    reader_.tick(now, actions);
    proposer_.tick(now, actions);
    writer_.tick(now, actions);
    return finish(std::move(actions), now);
}

Actions Manager::platformReply(const Platform::Reply &reply, Core::Instant now)
{
    Actions actions;
    const bool isTaken = reader_.reply(reply, now, actions) || proposer_.reply(reply, now, actions);
    if (!isTaken)
        (void)writer_.reply(reply, now, actions);
    return finish(std::move(actions), now);
}

Actions Manager::peerMessage(const Peer::Incoming &incoming, Core::Instant now)
{
    Actions actions;
    relay_.peerMessage(incoming, now, actions);
    return finish(std::move(actions), now);
}

Actions Manager::setPeers(std::span<const PeerNode> peers, Core::Instant now)
{
    std::vector<Core::NodeName> names;
    for (const PeerNode &peer : peers) {
        if (peer.name != settings_.self)
            names.push_back(peer.name);
    }
    relay_.setPeers(std::move(names));
    isWatching_ = ranksAsWatcher(peers);
    reader_.setDuty(isWatching_ ? WatchDuty::Watches : WatchDuty::Rests, now);
    return finish({}, now);
}

/// Every node ranks the live nodes of its data centre alike, so that about as many as needed watch.
bool Manager::ranksAsWatcher(std::span<const PeerNode> peers) const
{
    const auto own = Core::rankOf(settings_.self, settings_.dataCentre.view());
    const auto before = std::ranges::count_if(peers, [&](const PeerNode &peer) {
        return peer.dataCentre == settings_.dataCentre && peer.name != settings_.self
            && Core::rankOf(peer.name, peer.dataCentre.view()) < own;
    });
    return static_cast<std::uint32_t>(before) < settings_.watchersPerDataCentre;
}

Actions Manager::peerStatus(const Core::NodeName &peer, Revision revision, std::uint64_t digest,
                            Core::Instant now)
{
    Actions actions;
    relay_.peerStatus(peer, revision, digest, now, actions);
    return finish(std::move(actions), now);
}

Actions Manager::propose(Proposal proposal, Core::Instant now)
{
    Actions actions;
    proposer_.propose(std::move(proposal), now, actions);
    return finish(std::move(actions), now);
}

ProposalAnswer Manager::check(const Proposal &proposal) const
{
    return checkProposal(proposal, *log_.snapshot(), settings_.capacity, settings_.guards);
}

/// Adds what follows from changes of the log to a step's actions.
Actions Manager::finish(Actions actions, Core::Instant now)
{
    const ChangeLog::Progress progress = log_.take();
    for (const Revision revision : progress.forks)
        reportFork(revision, actions);
    if (progress.hasNewSnapshot) {
        actions.emplace_back(Apply{log_.snapshot()});
        actions.emplace_back(Event{EventKind::Applied, log_.revision(), ""});
    }
    if (!progress.applied.empty())
        relay_.push(progress.applied, actions);
    if (reader_.takeStoreWentBack())
        writer_.require();
    if (proposer_.takeNeedsCatchUp())
        reader_.catchUp(now);
    if (isWatching_)
        writer_.consider(now, actions);
    return actions;
}

void Manager::reportFork(Revision revision, Actions &actions)
{
    if (reportedForks_.size() >= maxReportedForks || !reportedForks_.insert(revision).second)
        return;
    actions.emplace_back(Event{EventKind::LogForked, revision, "another change has this number"});
}

} // namespace Chervilpin::Configuration
