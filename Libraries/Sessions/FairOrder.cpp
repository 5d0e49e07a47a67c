#include <Sessions/FairOrder.h>

#include <algorithm>

namespace Chervilpin::Sessions {

double FairOrder::enter(const Core::TeamName &team)
{
    const auto found = next_.find(team);
    const double position = found == next_.end() ? current_ : std::max(current_, found->second);
    next_[team] = position + 1;
    return position;
}

void FairOrder::started(double position)
{
    current_ = std::max(current_, position);
    std::erase_if(next_, [&](const auto &entry) { return entry.second <= current_; });
}

} // namespace Chervilpin::Sessions
