#pragma once

#include <Confirm/Confirmable.h>
#include <Route/GroupView.h>

namespace Chervilpin::Confirm {

enum class Judgement {
    Confirmed,  ///< May be answered Done.
    Superseded, ///< Can never be proved; a write may survive or be lost.
    Pending,
};

/// When an answer may be released.
class AcknowledgementPolicy
{
public:
    virtual ~AcknowledgementPolicy() = default;
    [[nodiscard]] virtual Judgement judge(const Confirmable &waiting,
                                          const Route::GroupView &view) const = 0;
};

/// Baseline: at once. Loses acknowledged writes when a primary dies before it replicated them.
class AcknowledgeAtCommit final : public AcknowledgementPolicy
{
public:
    [[nodiscard]] Judgement judge(const Confirmable &waiting,
                                  const Route::GroupView &view) const override;
};

/// Baseline: once the primary says again that it knows no higher term. Loses acknowledged writes
/// when the primary is cut off from its replicas but not from the proxy.
class AcknowledgeAfterTermCheck final : public AcknowledgementPolicy
{
public:
    [[nodiscard]] Judgement judge(const Confirmable &waiting,
                                  const Route::GroupView &view) const override;
};

/// Once a majority of the group holds the mark in its term; a strong read also needs a majority
/// that was not fenced above its term after it arrived. The default.
class AcknowledgeAtMajority final : public AcknowledgementPolicy
{
public:
    [[nodiscard]] Judgement judge(const Confirmable &waiting,
                                  const Route::GroupView &view) const override;
};

} // namespace Chervilpin::Confirm
