#pragma once

#include "JournalFile.h"
#include "Options.h"

#include <StandIn/AuditTrail.h>
#include <StandIn/DatabaseState.h>
#include <StandIn/FaultBoard.h>
#include <StandIn/SecretWatch.h>
#include <StandIn/SlotQueue.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

namespace Chervilpin::UpstreamStandIn {

class Connection;

/// What the connections of one database share. Used on the io_context's one thread only.
class Database
{
public:
    /// Fails if the journal can't be opened.
    [[nodiscard]] static Core::ErrorOr<std::unique_ptr<Database>> create(boost::asio::io_context &,
                                                                         Options);

    [[nodiscard]] boost::asio::io_context &context() { return context_; }
    [[nodiscard]] const Options &options() const { return options_; }
    [[nodiscard]] StandIn::DatabaseState &state() { return state_; }
    [[nodiscard]] StandIn::SlotQueue &slots() { return slots_; }
    [[nodiscard]] StandIn::FaultBoard &faults() { return faults_; }
    [[nodiscard]] StandIn::SecretWatch &secrets() { return secrets_; }
    [[nodiscard]] StandIn::AuditTrail &trail() { return trail_; }

    /// To be called after each change of the state, before anything is said of it to others.
    void stateChanged();

    /// Calls \a action once \a condition holds or the time is over, maybe at once.
    void waitFor(std::function<bool()> condition, Core::Duration wait,
                 std::function<void()> action);

    /// The number of a new connection, or nothing if there are too many already.
    [[nodiscard]] std::optional<std::uint64_t> admit(const std::shared_ptr<Connection> &);
    void forget(const Connection *);
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

    void silenceConnections();
    void wipe();
    void faultsChanged();
    /// Called when the lag between pulls may have changed.
    void onFaultsChanged(std::function<void()> action) { faultsChangedAction_ = std::move(action); }
    /// Called after each change of the primary to follow.
    void onPrimaryChanged(std::function<void()> action)
    {
        primaryChangedAction_ = std::move(action);
    }

    [[nodiscard]] bool isCut(const Core::DataCentreName &) const;
    /// Whether a database of the group is in a data centre that is cut off.
    [[nodiscard]] bool isPeerCut(const Core::DatabaseName &) const;

private:
    struct Waiter
    {
        std::function<bool()> condition;
        boost::asio::steady_timer timer;
    };

    Database(boost::asio::io_context &, Options, std::optional<JournalFile>);
    void rollBackIdle();

    boost::asio::io_context &context_;
    Options options_;
    std::optional<JournalFile> journal_;
    StandIn::DatabaseState state_;
    StandIn::SlotQueue slots_;
    StandIn::FaultBoard faults_;
    StandIn::SecretWatch secrets_;
    StandIn::AuditTrail trail_;
    std::list<Waiter> waiters_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::uint64_t lastConnection_ = 0;
    boost::asio::steady_timer idleTimer_;
    std::function<void()> faultsChangedAction_;
    std::function<void()> primaryChangedAction_;
    Core::DatabaseName lastPrimary_;
};

} // namespace Chervilpin::UpstreamStandIn
