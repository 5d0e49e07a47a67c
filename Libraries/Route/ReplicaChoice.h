#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Random.h>
#include <Route/GroupView.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Chervilpin::Route {

/// A replica that holds a mark, or is expected to hold it after `expectedWait`.
struct ReplicaCandidate
{
    const DatabaseView *view = nullptr;
    Core::Duration expectedWait;
};

/// The reachable replicas, except the excluded ones, that are expected to hold the mark within
/// \a maximumWait, in the order of their names.
[[nodiscard]] std::vector<ReplicaCandidate>
eligibleReplicas(const GroupView &view, const std::vector<Core::DatabaseName> &excluded,
                 Core::LogMark mark, Core::Duration maximumWait, Core::Instant now);

/// The one with the lower expected time of two randomly drawn candidates ("power of two choices").
/// One time in \a probeOneIn the first one drawn is returned without comparison, so that the
/// recovery of a slow database is noticed.
[[nodiscard]] std::optional<ReplicaCandidate>
chooseOfTwo(const std::vector<ReplicaCandidate> &candidates, std::uint64_t probeOneIn,
            Core::Instant now, Core::Random &random);

} // namespace Chervilpin::Route
