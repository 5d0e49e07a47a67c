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
/// Tokens of operations that reached no database are returned to the owner in one message, after
/// this time at most. Short compared with the 5 s window over which the users measure a team's
/// rate.
constexpr Core::Duration returnDelay{140};
/// Granted tokens that are not used expire after this time. Short compared with the 5 s window over
/// which the users measure a team's rate.
constexpr Core::Duration grantLifetime{200};
/// Retry delay for callers whose team was removed.
constexpr Core::Duration removedTeamRetryDelay{500};
/// Retry delay for callers that were refused since no proxy that may grant tokens answered.
constexpr Core::Duration noGranterRetryDelay{500};
/// How long a lent share may be used, counted from the holder's report. Longer than most network
/// partitions, so that a side that is cut off goes on serving its callers.
constexpr Core::Duration shareLeaseDuration{15'000};
/// Interval of the reports of a holder whose share is in use. Short compared with the 5 s window
/// over which the users measure a team's rate, since shares follow demand with the reports.
constexpr Core::Duration shareReportInterval{1'000};
/// Minimum interval between reports of a holder that lacked tokens.
constexpr Core::Duration urgentShareReportInterval{250};
/// Interval of the reports of a holder from which no tokens were requested since its last one.
/// Within the lease's duration even if a report or two are lost.
constexpr Core::Duration idleShareReportInterval{5'000};
/// Interval at which an owner repeats its query to holders that have not answered, or that are to
/// give up a part of their share.
constexpr Core::Duration shareQueryInterval{100};

} // namespace Chervilpin::Rates
