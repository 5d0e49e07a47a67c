#include <Execute/RetryBudget.h>

#include <algorithm>

namespace Chervilpin::Execute {

namespace {
constexpr std::size_t pruneThreshold = 10'000;
}

void RetryBudget::noteRequest(Core::Instant)
{
    available_ = std::min(options_.maximumSaved, available_ + options_.retriesPerRequest);
}

bool RetryBudget::tryTake(Core::Instant)
{
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

RetryBudget &RetryBudgets::budget(const Core::TeamName &team, const Core::GroupName &group,
                                  Core::Instant)
{
    if (budgets_.size() >= pruneThreshold)
        std::erase_if(budgets_, [](const auto &entry) { return entry.second.isFull(); });
    return budgets_.try_emplace(Key{team, group}, options_).first->second;
}

} // namespace Chervilpin::Execute
