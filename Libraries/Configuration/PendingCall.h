#pragma once

#include <Configuration/Actions.h>

namespace Chervilpin::Configuration {

/// Numbers the calls of all parts of one node's configuration.
class CallIds
{
public:
    [[nodiscard]] Platform::CallId next() { return ++last_; }

private:
    Platform::CallId last_ = 0;
};

/// At most one call that waits for its reply; a reply that doesn't come counts as NoAnswer.
class PendingCall
{
public:
    explicit PendingCall(CallIds &ids)
        : ids_(&ids)
    { }

    [[nodiscard]] bool isWaiting() const { return id_ != 0; }

    /// Makes the call; one that is still waiting is forgotten.
    void start(Platform::CallBody body, Core::Instant deadline, Actions &actions)
    {
        id_ = ids_->next();
        deadline_ = deadline;
        actions.emplace_back(Platform::Call{id_, std::move(body)});
    }

    /// Whether that is the reply waited for; it no longer waits then.
    [[nodiscard]] bool accept(const Platform::Reply &reply)
    {
        if (id_ == 0 || reply.id != id_)
            return false;
        id_ = 0;
        return true;
    }

    /// Whether the reply is overdue; it no longer waits then.
    [[nodiscard]] bool expire(Core::Instant now)
    {
        if (id_ == 0 || now < deadline_)
            return false;
        id_ = 0;
        return true;
    }

private:
    CallIds *ids_;
    Platform::CallId id_ = 0;
    Core::Instant deadline_;
};

} // namespace Chervilpin::Configuration
