#include <Membership/GossipQueue.h>

#include <algorithm>

namespace Chervilpin::Membership {

void GossipQueue::add(const Core::NodeName &name, std::uint32_t times)
{
    remaining_[name] = times;
}

std::vector<Core::NodeName> GossipQueue::take(std::size_t count)
{
    std::vector<std::pair<std::uint32_t, Core::NodeName>> ranked;
    ranked.reserve(remaining_.size());
    for (const auto &[name, times] : remaining_)
        ranked.emplace_back(times, name);
    std::ranges::sort(ranked, [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    ranked.resize(std::min(count, ranked.size()));
    std::vector<Core::NodeName> taken;
    for (const auto &[times, name] : ranked) {
        taken.push_back(name);
        if (times <= 1)
            remaining_.erase(name);
        else
            remaining_[name] = times - 1;
    }
    return taken;
}

} // namespace Chervilpin::Membership
