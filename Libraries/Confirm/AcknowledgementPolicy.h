#pragma once

#include <Confirm/Confirmable.h>
#include <Route/GroupView.h>

namespace Chervilpin::Confirm {

enum class Judgement {
    Confirmed,  ///< The answer may be released as Done.
    Superseded, ///< Can never be confirmed; a write may survive or be lost.
    Pending,    ///< Neither is known yet.
};

/// Decides when an answer may be released to its caller.
class AcknowledgementPolicy
{
public:
    virtual ~AcknowledgementPolicy() = default;
    [[nodiscard]] virtual Judgement judge(const Confirmable &waiting,
                                          const Route::GroupView &view) const = 0;
};

/// Baseline: releases an answer at once. Loses acknowledged writes if a primary fails before it has
/// replicated them.
class AcknowledgeAtCommit final : public AcknowledgementPolicy
{
public:
    [[nodiscard]] Judgement judge(const Confirmable &waiting,
                                  const Route::GroupView &view) const override;
};

/// Baseline: releases an answer once the primary has reported again that it knows no higher term.
/// Loses acknowledged writes if the primary is partitioned from its replicas but not from the
/// proxy.
class AcknowledgeAfterTermCheck final : public AcknowledgementPolicy
{
public:
    [[nodiscard]] Judgement judge(const Confirmable &waiting,
                                  const Route::GroupView &view) const override;
};

/// Default: releases an answer once a majority of the group was proved to hold its mark in the
/// mark's term. A strong read also requires a majority that was not fenced above the read's term
/// after the read arrived.
class AcknowledgeAtMajority final : public AcknowledgementPolicy
{
public:
    [[nodiscard]] Judgement judge(const Confirmable &waiting,
                                  const Route::GroupView &view) const override;
};

} // namespace Chervilpin::Confirm
