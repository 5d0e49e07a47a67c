#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Fleet/Records.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Chervilpin::Fleet {

/// Where a proxy learns of changes: from the store, or from a feed of its data centre.
struct Source
{
    Core::NodeName feed; ///< Empty for the store.
    std::string address; ///< IP:port of the feed.

    [[nodiscard]] bool isStore() const { return feed.view().empty(); }
    bool operator==(const Source &) const = default;
};

enum class SourceFailure {
    Refused, ///< The feed said that it can't serve now.
    Silent,  ///< It didn't answer, or not in a form that can be read.
};

enum class NextTry {
    Now,
    AfterPause, ///< The store itself failed.
};

/// Decides which proxies of a data centre follow the store for the others, and whom this one asks.
///
/// The calls of the store then grow with the data centres and the changes, and hardly with the
/// fleet. Each proxy works out the feeds from the members that it knows: the strongest VMs, and
/// among equals an order by hash. A proxy whose feeds fail asks the store itself.
class SourceSelector
{
public:
    enum class Leading {
        Yes, ///< A leader acts on what it learns and asks the store itself.
        No,
    };

    SourceSelector(Core::NodeName self, Core::DataCentreName);

    /// The members that aren't retired.
    void setMembers(std::span<const MemberRecord>, Leading);

    [[nodiscard]] Source current(Core::Instant now) const;
    /// Whether others may learn from this proxy.
    [[nodiscard]] bool isFeed() const { return isFeed_; }
    [[nodiscard]] const std::vector<Source> &feeds() const { return feeds_; }

    void answered(const Source &);
    NextTry failed(const Source &, SourceFailure, Core::Instant now);

private:
    struct Backoff
    {
        Core::Instant retryAt;
        Core::Duration interval;
    };

    Core::NodeName self_;
    Core::DataCentreName dataCentre_;
    std::vector<Source> feeds_; ///< In the order in which they are asked; none if all are direct.
    std::map<Core::NodeName, Backoff> backoffs_;
    bool isFeed_ = false;
};

} // namespace Chervilpin::Fleet
