#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <map>

namespace Chervilpin::Execute {

struct RetryBudgetOptions
{
    double retriesPerRequest = 0.1; ///< The long-run ratio of retries to requests.
    double maximumSaved = 20;       ///< The most retries that can be saved up.
};

/// Bounds the retries of one team on one group to a share of its requests, so that retries can't
/// multiply the load on a group that fails.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : options_(options)
        , available_(options.maximumSaved)
    { }

    /// Counts a first attempt.
    void noteRequest(Core::Instant now);
    /// Takes a retry out of the budget; false if it is spent.
    [[nodiscard]] bool tryTake(Core::Instant now);
    /// Whether it is as full as a new one.
    [[nodiscard]] bool isFull() const { return available_ >= options_.maximumSaved; }

private:
    RetryBudgetOptions options_;
    double available_;
};

/// The budgets by team and group. Those that are full are dropped when there are many.
class RetryBudgets
{
public:
    explicit RetryBudgets(RetryBudgetOptions options)
        : options_(options)
    { }

    /// Valid until the next call.
    [[nodiscard]] RetryBudget &budget(const Core::TeamName &team, const Core::GroupName &group,
                                      Core::Instant now);

private:
    struct Key
    {
        Core::TeamName team;
        Core::GroupName group;
        auto operator<=>(const Key &) const = default;
    };

    RetryBudgetOptions options_;
    std::map<Key, RetryBudget> budgets_;
};

} // namespace Chervilpin::Execute
