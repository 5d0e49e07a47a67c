#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Fleet/Records.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Chervilpin::Fleet {

/// The source from which a proxy reads the objects of the store: the store itself, or a feed, which
/// is a proxy of its data centre that watches the store on behalf of the others.
struct Source
{
    Core::NodeName feed; ///< Empty for the store.
    std::string address; ///< IP:port of the feed.

    [[nodiscard]] bool isStore() const { return feed.view().empty(); }
    bool operator==(const Source &) const = default;
};

enum class SourceFailure {
    Refused, ///< The feed answered that it can't serve requests now.
    Silent,  ///< The feed did not answer, or its answer could not be decoded.
};

enum class NextTry {
    Now,
    AfterPause, ///< The store itself failed.
};

/// Decides which proxies of a data centre are feeds, and which source this proxy uses.
///
/// This makes the number of calls to the store grow with the number of data centres and changes,
/// and hardly with the size of the fleet. Each proxy computes the feeds from the members that it
/// knows: the VMs with the highest capacity, ordered by hash among equals. A proxy whose feeds fail
/// asks the store itself.
class SourceSelector
{
public:
    enum class Leading {
        Yes, ///< The leader asks the store itself, since it must act on changes without a feed's
             ///< delay.
        No,
    };

    SourceSelector(Core::NodeName self, Core::DataCentreName);

    /// Sets the members that are not retired.
    void setMembers(std::span<const MemberRecord>, Leading);

    [[nodiscard]] Source current(Core::Instant now) const;
    /// Whether this proxy is a feed.
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
    /// In the order of preference; empty if this proxy asks the store itself.
    std::vector<Source> feeds_;
    std::map<Core::NodeName, Backoff> backoffs_;
    bool isFeed_ = false;
};

} // namespace Chervilpin::Fleet
