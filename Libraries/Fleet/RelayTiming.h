#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/ObjectKind.h>

#include <cstddef>

namespace Chervilpin::Fleet {

/// Maximum time without changes after which the store answers a watch. The watch of the records
/// bounds how late a silent loss of the store is noticed, after which the other watches list again.
/// It is well below the sum of two bounds of the users: 4 s without faults, and then 3 s until a
/// configuration is in force. It is not shorter, since each call is charged for.
constexpr Core::Duration recordsWatchTimeout{4'000};
constexpr Core::Duration otherWatchTimeout{9'000};

[[nodiscard]] constexpr Core::Duration watchTimeout(ObjectKind kind)
{
    return kind == ObjectKind::Records ? recordsWatchTimeout : otherWatchTimeout;
}

/// Maximum time without changes after which the store answers a feed's watch of the records.
/// Shorter, since all proxies of the data centre depend on it and only the feeds make these calls.
constexpr Core::Duration feedRecordsWatchTimeout{1'500};
/// Maximum age of a confirmation of the records with which a feed is still used: its watch, one
/// second during which it batches changes, and a slow answer. Beyond it the store itself is asked.
/// Together this is well below the users' bound of 5 s for a configuration.
constexpr Core::Duration maximumFeedLag{3'200};

/// Maximum time for which a feed holds back a request for records. A silent feed is noticed a
/// little later, and the requests for other objects then go to another source as well.
constexpr Core::Duration recordsRelayHoldTimeout{2'000};

[[nodiscard]] constexpr Core::Duration relayHoldTimeout(ObjectKind kind)
{
    return kind == ObjectKind::Records ? recordsRelayHoldTimeout : otherWatchTimeout;
}

/// Maximum time for which a feed holds back a request for a list. Only a feed that has no complete
/// list itself yet, since it is starting at the same time, holds it back.
constexpr Core::Duration listRelayHoldTimeout{1'000};
/// Time allowed for a feed's answer beyond its hold time: connecting within a region, and a feed
/// that answers a whole data centre on an eighth of a core.
constexpr Core::Duration relayAnswerTimeout{600};

/// How long a primary may be used after a proxy learned that its data centre is being evacuated, if
/// nothing may be sent there later than \a bound after the operators' request. A proxy may have
/// learned it as late as its feed can lag.
[[nodiscard]] constexpr Core::Duration evacuationGracePeriod(Core::Duration bound)
{
    const Core::Duration latest = maximumFeedLag + relayAnswerTimeout;
    return bound > latest ? bound - latest : Core::Duration();
}

/// Time allowed for an answer of the store. A feed's confirmation of objects other than records may
/// be older than otherWatchTimeout by this.
constexpr Core::Duration storeAnswerAllowance{1'500};

/// Maximum age of the store's confirmation on which a feed may base a page.
[[nodiscard]] constexpr Core::Duration maximumConfirmationAge(ObjectKind kind)
{
    return kind == ObjectKind::Records ? maximumFeedLag : otherWatchTimeout + storeAnswerAllowance;
}

/// Number of feeds in a data centre, so that one may be lost.
constexpr std::size_t feedsPerDataCentre = 2;
/// Up to this number of proxies in a data centre, all ask the store themselves: feeds would save
/// few calls, and each change would reach the proxies later.
constexpr std::size_t maximumProxiesWithoutFeeds = 8;
/// A feed that lost the store, or is not a feed, is asked again after this. Long compared with the
/// time in which both feeds refuse, so that the store itself is asked then.
constexpr Core::Duration refusedFeedRetryInterval{4'000};
/// Interval at which a proxy that has feeds asks an unreachable store itself. The feeds notice
/// sooner that the store is back.
constexpr Core::Duration storeProbeInterval{1'500};
/// A feed that doesn't answer is asked again after this; the interval doubles with each further
/// timeout up to the maximum.
constexpr Core::Duration silentFeedRetryInterval{4'000};
constexpr Core::Duration maximumFeedRetryInterval{30'000};
/// On the first start of a fleet each proxy waits this long before it looks for feeds: all start
/// within 0.3 s, and the platform promises 10 s or more before the first callers.
constexpr Core::Duration firstStartDelay{1'000};
/// A newer configuration that other proxies have is read from the store if the feed didn't deliver
/// it within this. The feed hears of it within two heartbeats of the leader.
constexpr Core::Duration configurationTimeout{2'000};

} // namespace Chervilpin::Fleet
