#pragma once

#include <cstdint>
#include <vector>

namespace Chervilpin::BenchLimits {

/// Time and memory of one node's allotment, with a member list of this length.
struct CostResult
{
    std::size_t nodes = 0;
    std::int64_t stateBytes = 0;      ///< Live heap bytes of a manager.
    std::int64_t ownerStateBytes = 0; ///< Live heap bytes of a ShareAllocator that all nodes ask.
    double setMembersMicroseconds = 0;
    double tickMicroseconds = 0;
    double takeNanoseconds = 0;
    double answerNanoseconds = 0; ///< An owner's answer to one ask with one entry.
};

/// Measures one object; the other nodes are only names.
[[nodiscard]] std::vector<CostResult> runCostExperiment();

} // namespace Chervilpin::BenchLimits
