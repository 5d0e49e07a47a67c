#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Rates {

/// An owner that didn't answer within this is taken as out of reach. A round trip between data
/// centres takes 2 ms, and a loaded VM some more.
constexpr Core::Duration askTime{40};
/// An owner that didn't answer is asked again after this, and after twice the time if it is silent
/// again, up to a bound: each question delays a caller.
constexpr Core::Duration silentOwnerTime{500};
constexpr Core::Duration longestSilence{2'000};
/// One that said that it isn't the owner is asked again after this; the members are about to agree.
constexpr Core::Duration wrongOwnerTime{100};
/// Operations expected within this are asked for with those that wait. It spares a busy team most
/// of its asks.
constexpr Core::Duration aheadOfNeed{100};
/// Demand is averaged over this: longer than the gaps between a busy team's operations, and shorter
/// than the 5 s over which the users count a team's operations.
constexpr Core::Duration demandSpan{1'500};
/// What an owner granted is averaged over this: a small team starts an operation in each data
/// centre once a second or so.
constexpr Core::Duration grantedSpan{10'000};
/// Operations that reached no database are given back to the owner together, after this at most.
/// Short against the 5 s over which the users count a team's operations.
constexpr Core::Duration returnPause{140};
/// What was granted and not started lapses after this. Short against the 5 s over which the users
/// count a team's operations.
constexpr Core::Duration grantLifetime{200};
/// When a caller may come back whose team was removed.
constexpr Core::Duration removedTeamRetry{500};
/// When a caller may come back who was refused by a stand-in.
constexpr Core::Duration standInRetry{500};
/// How fast a surge is noticed: well within the 5 s over which the users count.
constexpr Core::Duration surgeSpan{1'000};

} // namespace Chervilpin::Rates
