#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/RoutingTable.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Chervilpin::Sessions {

/// A proxy that can be the pooler of a database.
struct PoolerCandidate
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    std::string address;   ///< IP:port for forwarded statements.
    unsigned capacity = 0; ///< The processor capacity of its VM, in thousandths of a core.
};

/// Selects the *pooler* of each database: the proxy that holds the connections to the database, and
/// to which the other proxies forward their statements. Tracks the state of the links to the
/// poolers.
///
/// A connection serves one team only. With many teams and many proxies, a proxy's few connections
/// to a database would mostly belong to the wrong team, and would be opened and closed all the
/// time. A pooler is in the database's data centre, so forwarding adds little latency, and it
/// orders the statements of all proxies to the database.
class PoolerTable
{
public:
    explicit PoolerTable(Core::NodeName self);

    void setMembers(std::vector<PoolerCandidate>);

    /// Returns the proxy to forward statements for this database to, or null if this proxy runs
    /// them itself.
    [[nodiscard]] const PoolerCandidate *choose(const DatabaseEntry &, Core::Instant now);
    /// Returns whether this proxy is the pooler of the database, which is the case if all
    /// higher-ranked candidates are unusable.
    [[nodiscard]] bool isSelf(const DatabaseEntry &, Core::Instant now);

    /// Returns the highest-ranked candidate if it is not known yet whether it can be reached, else
    /// null.
    [[nodiscard]] const PoolerCandidate *untriedFirstCandidate(const DatabaseEntry &);

    // The links to the poolers.
    enum class Link {
        Closed,
        Opening,
        Up,
    };
    [[nodiscard]] Link linkTo(const Core::NodeName &) const;
    /// Returns whether the proxy failed and has not answered since.
    [[nodiscard]] bool isFailing(const Core::NodeName &) const;
    void onLinkOpening(const Core::NodeName &, Core::Instant now);
    void onLinkOpened(const Core::NodeName &, Core::Instant now);
    /// The link broke or could not be opened. The proxy is not chosen again until it answers a
    /// probe.
    void onLinkLost(const Core::NodeName &, Core::Instant now);
    /// The proxy accepts no statements because it is shutting down. It is not chosen for
    /// poolerBackoff.
    void onRefused(const Core::NodeName &, Core::Instant now);
    /// The proxy accepts no statements for this database, for example because it can't reach it.
    /// It is not chosen for this database for poolerBackoff, so that statements take the path
    /// through another proxy.
    void onDatabaseRefused(const Core::NodeName &, const Core::DatabaseName &, Core::Instant now);
    /// A statement was sent over the link.
    void onStatementSent(const Core::NodeName &, Core::Instant now);
    /// A message was received over the link.
    void onReceived(const Core::NodeName &, Core::Instant now);
    /// A statement was answered or abandoned.
    void onStatementFinished(const Core::NodeName &);

    struct LinkCheck
    {
        /// Proxies to probe by opening a link.
        std::vector<PoolerCandidate> toOpen;
        /// Proxies that owe an answer and are silent, or that are being probed.
        std::vector<Core::NodeName> toPing;
        /// Proxies that did not answer a ping, or whose link did not open, in time.
        std::vector<Core::NodeName> silent;
    };
    /// Must be called at nextLinkCheck() at the latest, and every pingTimeout while statements are
    /// in flight.
    [[nodiscard]] LinkCheck checkLinks(Core::Instant now);
    [[nodiscard]] Core::Instant nextLinkCheck() const;

private:
    struct LinkState
    {
        Link link = Link::Closed;
        Core::Instant openingSince; ///< When an opening link was started.
        Core::Instant avoidUntil;   ///< Not chosen before this time, after it refused a statement.
        /// Consecutive failures; the proxy is not chosen while there are any.
        unsigned failures = 0;
        /// The time of the next probe, if there are failures and the link is closed.
        Core::Instant probeAt;
        unsigned outstanding = 0; ///< Statements that are not answered yet.
        /// When a message was last received, or a statement was sent while none was unanswered.
        Core::Instant quietSince;
        /// When the unanswered ping was sent, or the epoch if there is none.
        Core::Instant pingedAt;

        [[nodiscard]] bool isUsable(Core::Instant now) const
        {
            return failures == 0 && now >= avoidUntil;
        }
    };

    [[nodiscard]] const std::vector<std::size_t> &candidatesFor(const DatabaseEntry &);
    [[nodiscard]] bool isUsableFor(const Core::DatabaseName &, const Core::NodeName &,
                                   Core::Instant now) const;
    /// Returns the highest-ranked usable candidate, which may be this proxy, or null if there is
    /// none.
    [[nodiscard]] const PoolerCandidate *firstUsable(const DatabaseEntry &, Core::Instant now);
    [[nodiscard]] std::vector<std::size_t> rank(const DatabaseEntry &) const;

    Core::NodeName self_;
    std::vector<PoolerCandidate> members_;
    /// The highest-ranked members, as indices into members_.
    std::map<Core::DatabaseName, std::vector<std::size_t>> candidates_;
    std::map<Core::NodeName, LinkState> links_;
    /// Until when a proxy is not chosen for a database whose statements it refused.
    std::map<std::pair<Core::DatabaseName, Core::NodeName>, Core::Instant> refusedUntil_;
};

} // namespace Chervilpin::Sessions
