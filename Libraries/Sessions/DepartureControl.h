#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Sessions {

/// Decides whether a read leaves the data centre although a database in it could run it.
///
/// Answers uneven load: the databases of a data centre are too few for the reads of its callers.
/// The share of reads that leave changes in small steps, so that proxies that learn of the same
/// load do not all move their reads there and back together.
class DepartureControl
{
public:
    enum class Side {
        Near,
        Far,
    };

    /// Chooses between the best near and the best far database, which are expected to have finished
    /// the read after these times. \a crossingCost is what the operator lets a crossing cost.
    [[nodiscard]] Side choose(double nearMilliseconds, double farMilliseconds,
                              Core::Duration crossingCost, Core::Instant now);

    /// The share of the reads for which leaving pays that leave, from 0 to 1.
    [[nodiscard]] double share() const { return share_; }

private:
    void adjust(Core::Instant now);

    double share_ = 0;
    double credit_ = 0; ///< Reads that may leave; less than one, plus the current one.
    Core::Instant adjustedAt_;
    // Since adjustedAt_:
    unsigned decisions_ = 0;
    unsigned paying_ = 0; ///< Decisions in which leaving paid.
};

} // namespace Chervilpin::Sessions
