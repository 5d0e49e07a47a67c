#include <Execute/RetryBudget.h>

#include <algorithm>

namespace Chervilpin::Execute {

namespace {
constexpr std::size_t manyBudgets = 10'000;
}

void RetryBudget::noteRequest(Core::Instant)
{
    saved_ = std::min(options_.maximumSaved, saved_ + options_.retriesPerRequest);
}

bool RetryBudget::tryTake(Core::Instant)
{
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

RetryBudget &RetryBudgets::budget(const Core::TeamName &team, const Core::GroupName &group,
                                  Core::Instant)
{
    if (budgets_.size() >= manyBudgets)
        std::erase_if(budgets_, [](const auto &entry) { return entry.second.isFull(); });
    return budgets_.try_emplace(Key{team, group}, options_).first->second;
}

} // namespace Chervilpin::Execute
