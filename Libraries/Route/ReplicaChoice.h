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

/// A replica that holds a mark, or is expected to hold it soon.
struct ReplicaCandidate
{
    const DatabaseView *view = nullptr;
    Core::Duration expectedWait;
};

/// The reachable replicas, less the excluded ones, that are expected to hold the mark within the
/// longest wait. By name.
[[nodiscard]] std::vector<ReplicaCandidate>
eligibleReplicas(const GroupView &view, const std::vector<Core::DatabaseName> &excluded,
                 Core::LogMark mark, Core::Duration maximumWait, Core::Instant now);

/// The less loaded of two candidates drawn by chance. One time in \a probeOneIn the first drawn is
/// taken as it is, so that a database that was slow is seen to have recovered.
[[nodiscard]] std::optional<ReplicaCandidate>
chooseOfTwo(const std::vector<ReplicaCandidate> &candidates, std::uint64_t probeOneIn,
            Core::Instant now, Core::Random &random);

} // namespace Chervilpin::Route
