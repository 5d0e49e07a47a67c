#pragma once

#include <Core/Name.h>

#include <map>

namespace Chervilpin::Sessions {

/// Orders waiting statements of the same priority fairly between teams: start-time fair queueing.
///
/// Each statement of a team gets a later position than the one before it, by one unit. A team that
/// has nothing waiting starts at the position that is served now. So a team with many waiting
/// statements delays the others by one statement at a time.
class FairOrder
{
public:
    /// Returns the position of a statement of this team that arrives now.
    [[nodiscard]] double enter(const Core::TeamName &);
    /// The statement with this position was sent to a database.
    void started(double position);

private:
    double current_ = 0;                    ///< The highest position that was started.
    std::map<Core::TeamName, double> next_; ///< Of teams that are ahead of current_.
};

} // namespace Chervilpin::Sessions
