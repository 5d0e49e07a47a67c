#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <map>

namespace Chervilpin::Execute {

struct RetryBudgetOptions
{
    double retriesPerRequest = 0.1; ///< Maximum long-run ratio of retries to requests.
    double maximumSaved = 20;       ///< Maximum number of retries that accumulate.
};

/// Limits the retries of one team on one group to a ratio of its requests, so that retries can't
/// multiply the load on a failing group.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : options_(options)
        , available_(options.maximumSaved)
    { }

    /// Credits the budget with one first attempt.
    void noteRequest(Core::Instant now);
    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    [[nodiscard]] bool tryTake(Core::Instant now);
    /// Whether the budget holds its maximum, like a new one.
    [[nodiscard]] bool isFull() const { return available_ >= options_.maximumSaved; }

private:
    RetryBudgetOptions options_;
    double available_;
};

/// Retry budgets by team and group. Full ones equal new ones, so they are removed when there are
/// many.
class RetryBudgets
{
public:
    explicit RetryBudgets(RetryBudgetOptions options)
        : options_(options)
    { }

    /// Returns the budget, creating it if needed. The reference is valid until the next call.
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
