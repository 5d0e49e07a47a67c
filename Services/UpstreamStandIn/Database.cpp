#include "Database.h"

#include "Connection.h"

#include <Core/SteadyClock.h>

#include <chrono>
#include <utility>

namespace Chervilpin::UpstreamStandIn {

namespace {

constexpr std::chrono::milliseconds idleCheckInterval{20};

StandIn::DatabaseState::Settings settingsOf(const Options &options)
{
    StandIn::DatabaseState::Settings settings;
    settings.name = Core::DatabaseName(options.name);
    settings.term = options.initialPrimary.empty() ? 0 : 1;
    settings.role =
        options.initialPrimary == options.name ? Upstream::Role::Primary : Upstream::Role::Replica;
    settings.primary = Core::DatabaseName(options.initialPrimary);
    if (const auto peer = options.peers.find(settings.primary); peer != options.peers.end())
        settings.primaryAddress = peer->second.address;
    if (!options.journalPath.empty())
        settings.journal = StandIn::DatabaseState::Journal::On;
    return settings;
}

} // namespace

Core::ErrorOr<std::unique_ptr<Database>> Database::create(boost::asio::io_context &context,
                                                          Options options)
{
    std::optional<JournalFile> journal;
    if (!options.journalPath.empty())
        journal.emplace(TRY(JournalFile::create(options.journalPath)));
    return std::unique_ptr<Database>(new Database(context, std::move(options), std::move(journal)));
}

Database::Database(boost::asio::io_context &context, Options options,
                   std::optional<JournalFile> journal)
    : context_(context)
    , options_(std::move(options))
    , journal_(std::move(journal))
    , state_(settingsOf(options_))
    , slots_(options_.slots, options_.maximumWaiting)
    , idleTimer_(context)
{
    if (journal_)
        state_.restore(journal_->records());
    rollBackIdle();
}

void Database::stateChanged()
{
    if (journal_)
        journal_->append(state_.takeJournal());
    const auto primary = state_.status().primary;
    if (std::exchange(lastPrimary_, primary) != primary && primaryChangedAction_)
        primaryChangedAction_();
    for (auto &waiter : waiters_) {
        if (waiter.condition())
            waiter.timer.cancel();
    }
}

void Database::waitFor(std::function<bool()> condition, Core::Duration wait,
                       std::function<void()> action)
{
    if (condition() || wait <= Core::Duration())
        return action();
    waiters_.push_back(
        {std::move(condition),
         boost::asio::steady_timer(context_, std::chrono::milliseconds(wait.milliseconds()))});
    const auto waiter = std::prev(waiters_.end());
    waiter->timer.async_wait([this, waiter, action = std::move(action)](auto) {
        waiters_.erase(waiter);
        action();
    });
}

std::optional<std::uint64_t> Database::admit(const std::shared_ptr<Connection> &connection)
{
    if (connections_.size() >= options_.maximumConnections)
        return std::nullopt;
    connections_.push_back(connection);
    return ++lastConnection_;
}

void Database::forget(const Connection *connection)
{
    std::erase_if(connections_,
                  [connection](const auto &known) { return known.get() == connection; });
}

void Database::silenceConnections()
{
    for (const auto &connection : connections_)
        connection->goSilent();
}

void Database::wipe()
{
    state_.wipe();
    stateChanged();
}

void Database::faultsChanged()
{
    if (faultsChangedAction_)
        faultsChangedAction_();
    if (!faults_.isRefusing(Core::SteadyClock::now()))
        return;
    const auto connections = connections_;
    for (const auto &connection : connections)
        connection->refuse();
}

bool Database::isCut(const Core::DataCentreName &dataCentre) const
{
    return faults_.isCut(dataCentre, Core::SteadyClock::now());
}

bool Database::isPeerCut(const Core::DatabaseName &name) const
{
    const auto peer = options_.peers.find(name);
    return peer != options_.peers.end() && isCut(peer->second.dataCentre);
}

void Database::rollBackIdle()
{
    for (const auto &connection : connections_)
        connection->rollBackIfIdle();
    idleTimer_.expires_after(idleCheckInterval);
    idleTimer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            rollBackIdle();
    });
}

} // namespace Chervilpin::UpstreamStandIn
