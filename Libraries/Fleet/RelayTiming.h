#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/ObjectKind.h>

#include <cstddef>

namespace Chervilpin::Fleet {

/// How long a watch of the store is quiet. That of the records bounds how late silent connections
/// to the store are noticed, and the other feeds list anew when it fails; so it is well within the
/// users' bounds of 3 s for configuration and 4 s of calm before that. Each call is paid for.
constexpr Core::Duration recordsWatchTimeout{4'000};
constexpr Core::Duration otherWatchTimeout{9'000};

[[nodiscard]] constexpr Core::Duration watchTimeout(ObjectKind kind)
{
    return kind == ObjectKind::Records ? recordsWatchTimeout : otherWatchTimeout;
}

/// The same for the records at a feed, which answers for its data centre and makes few calls.
constexpr Core::Duration feedRecordsWatchTimeout{1'500};
/// The oldest confirmation of the records with which a feed is still followed: its watch, a second
/// in which it takes changes together, and the time of a slow answer. Then the store itself is
/// asked; together well below the users' bound of 5 s for a configuration.
constexpr Core::Duration maximumFeedLag{3'200};

/// How long a feed holds a question about records back at most. A feed that is silent is noticed a
/// little later, and the questions about other objects are then asked elsewhere as well.
constexpr Core::Duration recordsRelayHoldTimeout{2'000};

[[nodiscard]] constexpr Core::Duration relayHoldTimeout(ObjectKind kind)
{
    return kind == ObjectKind::Records ? recordsRelayHoldTimeout : otherWatchTimeout;
}

/// The same for a list, which is held back only by a feed that starts together with the asker.
constexpr Core::Duration listRelayHoldTimeout{1'000};
/// How long a feed's answer may take beside that: connecting within a region, and a processor of an
/// eighth of a core that answers a whole data centre.
constexpr Core::Duration relayAnswerTimeout{600};
/// A feed's knowledge of other objects is at most this much older than its watch is long: the time
/// of an answer of the store.
constexpr Core::Duration storeAnswerAllowance{1'500};

/// How old the confirmation of what a feed tells may be.
[[nodiscard]] constexpr Core::Duration maximumConfirmationAge(ObjectKind kind)
{
    return kind == ObjectKind::Records ? maximumFeedLag : otherWatchTimeout + storeAnswerAllowance;
}

/// So many proxies of a data centre ask the store for the others, so that one may be lost.
constexpr std::size_t feedsPerDataCentre = 2;
/// In a data centre of so many proxies, all ask the store themselves: a relay would save few calls,
/// and each change would come later.
constexpr std::size_t maximumProxiesWithoutFeeds = 8;
/// A feed that lost the store, or is none, is asked again after this. Long against the time in
/// which both feeds refuse, so that the store itself is asked then.
constexpr Core::Duration refusedFeedRetryInterval{4'000};
/// Where there are feeds, a proxy that asks an unreachable store itself does so this often. The
/// feeds find out sooner that it is back.
constexpr Core::Duration storeProbeInterval{1'500};
/// A feed that doesn't answer is asked again after this, and after twice as long each time it is
/// silent again.
constexpr Core::Duration silentFeedRetryInterval{4'000};
constexpr Core::Duration maximumFeedRetryInterval{30'000};
/// On the first start of a fleet each proxy waits this long before it looks for feeds: all start
/// within 0.3 s, and the platform promises 10 s or more before the first callers.
constexpr Core::Duration firstStartDelay{1'000};
/// A newer configuration that other proxies have is taken from the store if the feed didn't bring
/// it within this; a third of the users' strictest bound for a configuration.
constexpr Core::Duration configurationTimeout{1'000};

} // namespace Chervilpin::Fleet
