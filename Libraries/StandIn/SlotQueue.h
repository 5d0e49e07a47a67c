#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace Chervilpin::StandIn {

/// Hands out a database's slots, first come, first served.
class SlotQueue
{
public:
    using Granted = std::function<void()>;

    SlotQueue(std::size_t slots, std::size_t maximumWaiting)
        : free_(slots)
        , maximumWaiting_(maximumWaiting)
    { }

    /// Calls \a granted once a slot is free, maybe at once. False if too many wait already.
    [[nodiscard]] bool acquire(Granted granted);
    /// Gives a slot back; the next in line gets it.
    void release();

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    std::size_t free_;
    std::size_t maximumWaiting_;
    std::deque<Granted> waiting_;
};

} // namespace Chervilpin::StandIn
