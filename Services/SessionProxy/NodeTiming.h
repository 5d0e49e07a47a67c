#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::SessionProxy {

/// How long a call of the store may take; it answers in 4 ms, and at times a hundred times slower.
constexpr Core::Duration storeCallTimeout{1'200};
/// The same for an order to promote.
constexpr Core::Duration promotionCallTimeout{1'500};
/// How often the engines tell each other what changes slowly: the number of members, the version of
/// the configuration, whether this proxy sees enough of the fleet.
constexpr Core::Duration engineSyncInterval{500};
/// Open transactions end this much before half of the time to stop.
constexpr Core::Duration transactionEndMargin{200};
/// How often a stop's progress is looked at.
constexpr Core::Duration shutdownCheckInterval{50};
/// New callers are accepted again this long after accepting failed.
constexpr Core::Duration acceptRetryDelay{50};

} // namespace Chervilpin::SessionProxy
