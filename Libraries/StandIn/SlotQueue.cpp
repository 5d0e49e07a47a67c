#include <StandIn/SlotQueue.h>

#include <utility>

namespace Chervilpin::StandIn {

bool SlotQueue::acquire(Granted granted)
{
    if (free_ > 0) {
        --free_;
        granted();
        return true;
    }
    if (waiting_.size() >= maximumWaiting_)
        return false;
    waiting_.push_back(std::move(granted));
    return true;
}

void SlotQueue::release()
{
    if (waiting_.empty()) {
        ++free_;
        return;
    }
    const auto next = std::move(waiting_.front());
    waiting_.pop_front();
    next();
}

} // namespace Chervilpin::StandIn
