#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/RoutingTable.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Chervilpin::Sessions {

/// A proxy that may keep the fleet's connections to a database.
struct PoolerCandidate
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    std::string address;   ///< IP:port for forwarded statements.
    unsigned capacity = 0; ///< Of its VM, in thousandths of a core.
};

/// Finds the *pooler* of each database: the proxy that keeps the connections to it, to which the
/// others forward their statements. Keeps the state of the links to the poolers.
///
/// Answers a load of many teams over many proxies: a connection serves one team only, so that
/// connections of each proxy to each database are mostly of the wrong team, and are opened and
/// closed all the time. A pooler is in the database's data centre, so the way through it is hardly
/// longer, and it orders what all proxies send to the database.
class PoolerTable
{
public:
    explicit PoolerTable(Core::NodeName self);

    void setMembers(std::vector<PoolerCandidate>);

    /// Whom to forward statements for this database to; null if this proxy is to run them itself.
    [[nodiscard]] const PoolerCandidate *choose(const DatabaseEntry &, Core::Instant now);
    /// Whether this proxy is the pooler, as all before it in rank fail.
    [[nodiscard]] bool isSelf(const DatabaseEntry &, Core::Instant now);

    /// The first in rank, if this proxy has not found out yet whether it can be reached.
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
    /// The link broke, or could not be opened. The proxy isn't chosen again before a probe of it
    /// was answered.
    void onLinkLost(const Core::NodeName &, Core::Instant now);
    /// The proxy takes no statements now, as it is stopping.
    void onRefused(const Core::NodeName &, Core::Instant now);
    /// A statement was sent over the link.
    void onStatementSent(const Core::NodeName &, Core::Instant now);
    /// Something came over the link.
    void onReceived(const Core::NodeName &, Core::Instant now);
    /// A statement was answered or given up.
    void onStatementFinished(const Core::NodeName &);

    struct LinkCheck
    {
        std::vector<PoolerCandidate> toOpen; ///< To find out whether they can be reached again.
        std::vector<Core::NodeName> toPing;  ///< They owe an answer and are quiet.
        std::vector<Core::NodeName> silent;  ///< They answered no ping, or didn't open in time.
    };
    /// To be called at nextLinkCheck() at the latest, and every pingTimeout while statements are
    /// under way.
    [[nodiscard]] LinkCheck checkLinks(Core::Instant now);
    [[nodiscard]] Core::Instant nextLinkCheck() const;

private:
    struct LinkState
    {
        Link link = Link::Closed;
        Core::Instant since;      ///< Of an opening link.
        Core::Instant avoidUntil; ///< It isn't chosen before, as it refused.
        unsigned failures = 0;    ///< In a row; it isn't chosen while there are any.
        Core::Instant probeAt;    ///< If there are any, and the link is closed.
        unsigned outstanding = 0; ///< Statements without an answer.
        Core::Instant quietSince; ///< Nothing came since, though something is outstanding.
        Core::Instant pingedAt;   ///< Not answered yet; the origin if there is none.

        [[nodiscard]] bool isUsable(Core::Instant now) const
        {
            return failures == 0 && now >= avoidUntil;
        }
    };

    [[nodiscard]] const std::vector<std::size_t> &candidatesFor(const DatabaseEntry &);
    /// The first in rank that is usable, which may be this proxy; null if there is none.
    [[nodiscard]] const PoolerCandidate *firstUsable(const DatabaseEntry &, Core::Instant now);
    [[nodiscard]] std::vector<std::size_t> rank(const DatabaseEntry &) const;

    Core::NodeName self_;
    std::vector<PoolerCandidate> members_;
    std::map<Core::DatabaseName, std::vector<std::size_t>> candidates_; ///< The first few members.
    std::map<Core::NodeName, LinkState> links_;
};

} // namespace Chervilpin::Sessions
