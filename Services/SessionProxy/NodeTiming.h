#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::SessionProxy {

/// Timeout of a write or delete in the store, which usually answers in 4 ms, but at times a hundred
/// times slower.
constexpr Core::Duration storeCallTimeout{1'200};
/// Timeout of a request to promote a database, which may have to end sooner.
constexpr Core::Duration promotionCallTimeout{1'500};
/// Interval at which slowly changing state is passed between the engines: the number of members,
/// the version of the configuration, whether this proxy is in contact with enough of the fleet.
constexpr Core::Duration engineSyncInterval{500};
/// On shutdown, open transactions are ended this long before half of the grace period has passed.
constexpr Core::Duration transactionEndMargin{200};
/// Interval at which the progress of a shutdown is checked.
constexpr Core::Duration shutdownCheckInterval{50};
/// Delay before connections are accepted again after accepting one failed.
constexpr Core::Duration acceptRetryDelay{50};

} // namespace Chervilpin::SessionProxy
