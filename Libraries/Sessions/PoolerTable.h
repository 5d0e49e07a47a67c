#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/RoutingTable.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Chervilpin::Sessions {

/// A proxy that may become the pooler of a database.
struct PoolerCandidate
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    std::string address;   ///< IP:port for forwarded statements.
    unsigned capacity = 0; ///< CPU capacity of its VM, in thousandths of a core.
};

/// Determines the *pooler* of each database: the proxy that holds the connections to it, and to
/// which the others forward their statements. Tracks the state of the links to the poolers.
///
/// A connection serves one team only. With many teams and many proxies, the few connections of a
/// proxy to a database would mostly belong to the wrong team, and would be opened and closed all
/// the time. A pooler is in the database's data centre, so that forwarding adds little latency, and
/// it queues the statements of all proxies by priority.
class PoolerTable
{
public:
    explicit PoolerTable(Core::NodeName self);

    void setMembers(std::vector<PoolerCandidate>);

    /// The proxy to which statements for this database are forwarded; null if this proxy runs them
    /// itself.
    [[nodiscard]] const PoolerCandidate *choose(const DatabaseEntry &, Core::Instant now);
    /// Whether this proxy is the pooler: no usable candidate is ranked before it.
    [[nodiscard]] bool isSelf(const DatabaseEntry &, Core::Instant now);

    /// The candidate ranked first, if it is not known yet whether this proxy can reach it;
    /// otherwise null.
    [[nodiscard]] const PoolerCandidate *untriedFirstCandidate(const DatabaseEntry &);

    // The links to the poolers.
    enum class Link {
        Closed,
        Opening,
        Up,
    };
    [[nodiscard]] Link linkTo(const Core::NodeName &) const;
    /// Whether the proxy failed and has not answered since.
    [[nodiscard]] bool isFailing(const Core::NodeName &) const;
    void onLinkOpening(const Core::NodeName &, Core::Instant now);
    void onLinkOpened(const Core::NodeName &, Core::Instant now);
    /// The link broke, or could not be opened. The proxy is not chosen again until it has answered
    /// a probe.
    void onLinkLost(const Core::NodeName &, Core::Instant now);
    /// The proxy refused a statement, since it is stopping. It is not chosen for poolerBackoff.
    void onRefused(const Core::NodeName &, Core::Instant now);
    /// A statement was sent over the link.
    void onStatementSent(const Core::NodeName &, Core::Instant now);
    /// A message was received over the link.
    void onReceived(const Core::NodeName &, Core::Instant now);
    /// A statement was answered or abandoned.
    void onStatementFinished(const Core::NodeName &);

    struct LinkCheck
    {
        std::vector<PoolerCandidate> toOpen; ///< Failed proxies to be probed with a new link.
        std::vector<Core::NodeName> toPing;  ///< Silent for pingDelay with an answer pending.
        std::vector<Core::NodeName> silent;  ///< Did not answer a ping, or open a link, in time.
    };
    /// To be called at nextLinkCheck() at the latest, and every pingTimeout while statements are
    /// unanswered.
    [[nodiscard]] LinkCheck checkLinks(Core::Instant now);
    [[nodiscard]] Core::Instant nextLinkCheck() const;

private:
    struct LinkState
    {
        Link link = Link::Closed;
        Core::Instant since;      ///< When opening the link began.
        Core::Instant avoidUntil; ///< Not chosen before this, after it refused a statement.
        unsigned failures = 0;    ///< Since the last message; not chosen unless this is 0.
        Core::Instant probeAt;    ///< When the link is opened again after a failure.
        unsigned outstanding = 0; ///< Unanswered statements.
        Core::Instant quietSince; ///< The last message, or the first unanswered statement.
        Core::Instant pingedAt;   ///< When the unanswered ping was sent; the epoch without one.

        [[nodiscard]] bool isUsable(Core::Instant now) const
        {
            return failures == 0 && now >= avoidUntil;
        }
    };

    [[nodiscard]] const std::vector<std::size_t> &candidatesFor(const DatabaseEntry &);
    /// The first usable candidate by rank, which may be this proxy; null if there is none.
    [[nodiscard]] const PoolerCandidate *firstUsable(const DatabaseEntry &, Core::Instant now);
    [[nodiscard]] std::vector<std::size_t> rank(const DatabaseEntry &) const;

    Core::NodeName self_;
    std::vector<PoolerCandidate> members_;
    std::map<Core::DatabaseName, std::vector<std::size_t>> candidates_; ///< By rank.
    std::map<Core::NodeName, LinkState> links_;
};

} // namespace Chervilpin::Sessions
