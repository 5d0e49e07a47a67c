#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Rates {

/// A proxy that does not answer a request within this time is taken as unreachable. A round trip
/// between data centres takes 2 ms, and longer on a loaded VM.
constexpr Core::Duration requestTimeout{40};
/// How long no requests are sent to a proxy that did not answer. The time doubles with each further
/// failure, up to the maximum, since each unanswered request delays a caller.
constexpr Core::Duration initialBackoff{500};
constexpr Core::Duration maximumBackoff{2'000};
/// How long no requests are sent to a proxy that answered that it is not the owner. Short, since
/// the members' views of the fleet soon converge.
constexpr Core::Duration wrongOwnerBackoff{100};
/// Tokens for the operations expected within this time are requested along with those for waiting
/// operations, which saves most of a busy team's requests.
constexpr Core::Duration prefetchWindow{100};
/// Demand is averaged over this time: longer than the gaps between a busy team's operations, and
/// shorter than the 5 s window over which the users measure a team's rate.
constexpr Core::Duration demandWindow{1'500};
/// The rate of grants is averaged over this time. It must be long, since a small team starts only
/// about one operation per second in each data centre.
constexpr Core::Duration grantedWindow{10'000};
/// Tokens of operations that reached no database are returned to the owner in one message, after
/// this time at most. Short compared with the 5 s window over which the users measure a team's
/// rate.
constexpr Core::Duration returnDelay{140};
/// Granted tokens that are not used expire after this time. Short compared with the 5 s window over
/// which the users measure a team's rate.
constexpr Core::Duration grantLifetime{200};
/// Retry delay for callers whose team was removed.
constexpr Core::Duration removedTeamRetryDelay{500};
/// Retry delay for callers that a fallback refused.
constexpr Core::Duration fallbackRetryDelay{500};
/// The window for the detection of surges, well below the 5 s window over which the users measure a
/// team's rate.
constexpr Core::Duration surgeWindow{1'000};

} // namespace Chervilpin::Rates
