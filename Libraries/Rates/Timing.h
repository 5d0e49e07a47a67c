#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Rates {

/// An owner that didn't answer within this is taken as out of reach. A round trip between data
/// centres takes 2 ms, and a loaded VM some more.
constexpr Core::Duration requestTimeout{40};
/// An owner that didn't answer receives requests again after this, and after twice the time if it
/// is silent again, up to a bound: each question delays a caller.
constexpr Core::Duration initialBackoff{500};
constexpr Core::Duration maximumBackoff{2'000};
/// One that said that it isn't the owner receives requests again after this; the members are about
/// to agree.
constexpr Core::Duration wrongOwnerBackoff{100};
/// Operations expected within this are requested with those that wait. It spares a busy
/// team most of its asks.
constexpr Core::Duration prefetchWindow{100};
/// Demand is averaged over this: longer than the gaps between a busy team's operations, and shorter
/// than the 5 s over which the users count a team's operations.
constexpr Core::Duration demandWindow{1'500};
/// What an owner granted is averaged over this: a small team starts an operation in each data
/// centre once a second or so.
constexpr Core::Duration grantedWindow{10'000};
/// Operations that reached no database are given back to the owner together, after this at most.
/// Short against the 5 s over which the users count a team's operations.
constexpr Core::Duration returnDelay{140};
/// What was granted and not started lapses after this. Short against the 5 s over which the users
/// count a team's operations.
constexpr Core::Duration grantLifetime{200};
/// When a caller may come back whose team was removed.
constexpr Core::Duration removedTeamRetryDelay{500};
/// When a caller may come back who was refused by a stand-in.
constexpr Core::Duration fallbackRetryDelay{500};
/// How fast a surge is noticed: well within the 5 s over which the users count.
constexpr Core::Duration surgeWindow{1'000};

} // namespace Chervilpin::Rates
