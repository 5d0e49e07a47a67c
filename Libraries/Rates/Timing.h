#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Rates {

/// An owner that didn't answer within this is taken as out of reach. A round trip between data
/// centres takes 2 ms, and a loaded VM some more.
constexpr Core::Duration askTime{40};
/// An owner that didn't answer is asked again after this.
constexpr Core::Duration silentOwnerTime{500};
/// One that said that it isn't the owner is asked again after this; the members are about to agree.
constexpr Core::Duration wrongOwnerTime{100};
/// Operations expected within this are asked for with those that wait. It spares a busy team most
/// of its asks.
constexpr Core::Duration aheadOfNeed{100};
/// What was granted and not started lapses after this. Short against the 5 s over which the users
/// count a team's operations.
constexpr Core::Duration grantLifetime{200};
/// When a caller may come back if no owner could be asked.
constexpr Core::Duration nobodyRetry{500};

} // namespace Chervilpin::Rates
