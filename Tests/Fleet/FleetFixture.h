#pragma once

#include <Fleet/FleetEngine.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Chervilpin::Fleet::Testing {

/// Several fleet engines with one store, and links that the test can interrupt.
///
/// The store answers at once; watches are delivered by advanceTime(). Sessions are simulated: each
/// proxy releases an old primary at once unless the test sets holdsOldPrimary.
class FleetFixture
{
public:
    static inline const Core::GroupName group{"g"};

    explicit FleetFixture(unsigned count)
    {
        for (unsigned i = 1; i <= count; ++i)
            start("n" + std::to_string(i));
        directory = {entry("db-1", Sessions::DatabaseRole::Primary),
                     entry("db-2", Sessions::DatabaseRole::Replica),
                     entry("db-3", Sessions::DatabaseRole::Replica)};
        for (auto &[name, proxy] : proxies)
            proxy.engine->directoryChanged(directory, now);
        advanceTime(Core::Duration(3'000));
    }

    struct Proxy
    {
        std::unique_ptr<FleetEngine> engine;
        std::optional<PrimaryLease> lease;
        std::uint64_t seen = 0; ///< The store's revision as of the last list or watch.
        Era seenEra = 0;
        Core::Instant watchedAt;
        bool holdsOldPrimary = false;
    };

    void start(const std::string &name, unsigned capacity = 0)
    {
        FleetSettings settings;
        settings.node = Core::NodeName(name);
        settings.incarnation = nextIncarnation++;
        settings.address = name;
        settings.capacity = capacity;
        Proxy &proxy = proxies[name];
        proxy = {};
        proxy.engine = std::make_unique<FleetEngine>(settings, now);
        proxy.engine->directoryChanged(directory, now);
        if (configuresProxies)
            proxy.engine->setSynchronousReplicas({});
        list(proxy);
    }

    /// The process of a proxy ends, and starts again at once.
    void restart(const std::string &name)
    {
        std::erase_if(heldOrders_, [&](HeldOrder &held) {
            const bool isSender = held.sender == proxies.at(name).engine.get();
            if (isSender)
                ordersOfEndedProcesses_.push_back(held.order);
            return isSender;
        });
        start(name);
    }

    static Sessions::DatabaseEntry entry(const char *id, Sessions::DatabaseRole role)
    {
        Sessions::DatabaseEntry result;
        result.id = Core::DatabaseName(id);
        result.group = group;
        result.role = role;
        return result;
    }

    void advanceTime(Core::Duration span)
    {
        constexpr Core::Duration step{10};
        const Core::Instant end = now + span;
        while (now < end) {
            now = now + step;
            applyPromotion();
            endHeldOrders();
            for (auto &[name, proxy] : proxies) {
                if (paused.contains(name))
                    continue;
                if (!cutFromStore.contains(name) && !withoutWatch.contains(name))
                    watch(proxy);
                proxy.engine->advance(now);
                performActions(name, proxy);
            }
            checkLeases();
        }
    }

    /// Advances the time until the condition holds, but no further than \a limit.
    void advanceUntil(const std::function<bool()> &condition, Core::Duration limit)
    {
        const Core::Instant end = now + limit;
        while (!condition() && now < end)
            advanceTime(Core::Duration(10));
    }

    /// The store is replaced by a copy of what it held some time ago.
    void restoreFromCopy(Core::Duration age)
    {
        while (copies_.size() > 1 && copies_.back().takenAt > now - age)
            copies_.pop_back();
        objects_ = copies_.back().objects;
        revision_ = copies_.back().revision;
        ++era;
    }

    void changeDirectory(std::vector<Sessions::DatabaseEntry> entries)
    {
        directory = std::move(entries);
        for (auto &[name, proxy] : proxies)
            proxy.engine->directoryChanged(directory, now);
    }

    void setSynchronousReplicas(std::uint32_t count)
    {
        for (auto &[name, proxy] : proxies)
            proxy.engine->setSynchronousReplicas({{group, count}});
    }

    void releaseAnswers()
    {
        withoutAnswers.clear();
        for (const auto &answer : std::exchange(heldAnswers_, {}))
            answer();
    }

    /// Another database takes over without an order of the fleet.
    void supersede(Core::DatabaseName database)
    {
        primary = std::move(database);
        ++term_;
    }

    /// Gives the primary's record a newer revision, as if another proxy had written it.
    void rewritePrimaryRecord() { objects_.at(primaryKey(group)).revision = ++revision_; }

    void report(Health health)
    {
        for (auto &[name, proxy] : proxies) {
            if (!paused.contains(name))
                proxy.engine->primaryHealth(group, health, {1, 10}, now);
        }
    }

    /// The proxies with a valid lease, by the database that they may use.
    [[nodiscard]] std::map<std::string, std::set<std::string>> leaseHolders() const
    {
        std::map<std::string, std::set<std::string>> result;
        for (const auto &[name, proxy] : proxies) {
            const auto &lease = proxy.lease;
            if (lease && lease->phase == PrimaryPhase::Active && now < lease->validUntil)
                result[lease->database.value()].insert(name);
        }
        return result;
    }

    [[nodiscard]] std::string leader() const
    {
        std::string found;
        for (const auto &[name, proxy] : proxies) {
            if (proxy.engine->isLeader())
                found += name;
        }
        return found;
    }

    Core::Instant now{1'000'000};
    Core::Incarnation nextIncarnation = 1;
    std::map<std::string, Proxy> proxies;
    std::vector<Sessions::DatabaseEntry> directory;
    std::set<std::string> cutFromStore;
    std::set<std::string> withoutWatch; ///< They can write to the store, but learn of no change.
    std::set<std::string> cutFromPeers;
    std::set<std::string> paused;
    std::set<std::string> silentDatabases;
    /// The ends of logs that differ from the usual ones.
    std::map<std::string, Core::LogMark> receivedMarks;
    /// Databases that still report that they lead this term, until they are promoted.
    std::map<std::string, Core::Term> supersededPrimaries;
    std::vector<OrderPromotion> orders;
    /// Proxies whose lease to another database was still valid when an order was sent.
    std::vector<std::string> fencingViolations;
    bool areOrdersAnswered = true;
    /// Orders are not answered, and are given up when they have to end.
    bool areOrdersHeld = false;
    /// Orders that were sent while an earlier one with another token could still arrive.
    unsigned overtakingOrders = 0;
    /// The store's answers to these proxies are held back until releaseAnswers().
    std::set<std::string> withoutAnswers;
    bool configuresProxies = true; ///< Whether a proxy knows the configuration when it starts.
    /// Steps of time in which a proxy held a lease to a database that wasn't the primary.
    unsigned staleLeases = 0;
    Core::Duration takeOverTime; ///< From the answer to an order until it takes effect.
    Era era = 1;
    std::map<std::string, unsigned> heartbeats; ///< Number sent, by sender.
    std::function<void(const std::string &from, const SendHeartbeat &)> onHeartbeat;
    unsigned writes = 0;                ///< Write calls to the store, answered or not.
    Core::DatabaseName primary{"db-1"}; ///< The actual primary, whatever the proxies know.

private:
    struct Copy
    {
        Core::Instant takenAt;
        std::map<std::string, StoredObject> objects;
        std::uint64_t revision = 0;
    };

    struct HeldOrder
    {
        FleetEngine *sender = nullptr;
        OrderPromotion order;
    };

    struct PendingPromotion
    {
        Core::DatabaseName database;
        Core::Instant at;
    };

    /// An object as the store shows it, with a position of the present era.
    [[nodiscard]] StoredObject shown(StoredObject object) const
    {
        object.revision = makeRevision(era, object.revision);
        return object;
    }

    void list(Proxy &proxy)
    {
        std::vector<StoredObject> all;
        for (const auto &[key, object] : objects_) {
            if (!object.isDeleted)
                all.push_back(shown(object));
        }
        proxy.seen = revision_;
        proxy.seenEra = era;
        proxy.engine->recordsListed(all, makeRevision(era, revision_), now, now);
    }

    void watch(Proxy &proxy)
    {
        constexpr Core::Duration quiet{1'000};
        if (proxy.seenEra != era) {
            list(proxy);
            return;
        }
        std::vector<StoredObject> changes;
        for (const auto &[key, object] : objects_) {
            if (object.revision > proxy.seen)
                changes.push_back(shown(object));
        }
        if (changes.empty() && now < proxy.watchedAt + quiet)
            return;
        proxy.seen = revision_;
        proxy.watchedAt = now;
        proxy.engine->recordsChanged(changes, now, now);
    }

    void performActions(const std::string &name, Proxy &proxy)
    {
        for (;;) {
            const auto actions = proxy.engine->takeActions();
            if (actions.empty())
                return;
            for (const auto &action : actions)
                performAction(name, proxy, action);
        }
    }

    void performAction(const std::string &name, Proxy &proxy, const Action &action)
    {
        if (const auto *write = std::get_if<WriteRecord>(&action))
            writeRecord(name, proxy, *write);
        else if (const auto *record = std::get_if<DeleteRecord>(&action))
            deleteRecord(name, *record);
        else if (const auto *send = std::get_if<SendHeartbeat>(&action))
            deliver(name, *send);
        else if (const auto *order = std::get_if<OrderPromotion>(&action))
            promote(proxy, *order);
        else if (const auto *ask = std::get_if<QueryStatus>(&action))
            answerStatus(proxy, *ask);
        else if (const auto *lease = std::get_if<PrimaryLease>(&action))
            takeLease(proxy, *lease);
    }

    void writeRecord(const std::string &name, Proxy &proxy, const WriteRecord &write)
    {
        ++writes;
        if (cutFromStore.contains(name)) {
            proxy.engine->writeEnded(write.id, WriteOutcome::Unknown, 0, now);
            return;
        }
        auto &object = objects_[keyOf(write.record)];
        const std::uint64_t present = object.isDeleted ? 0 : object.revision;
        if (present != storeRevisionOf(write.expected)) {
            proxy.engine->writeEnded(write.id, WriteOutcome::Conflict, 0, now);
            return;
        }
        object = {keyOf(write.record), encode(write.record), ++revision_, false};
        takeCopy();
        const bool isSameEra = write.expected == 0 || eraOf(write.expected) == era;
        const auto answer = [this, engine = proxy.engine.get(), id = write.id,
                             outcome = isSameEra ? WriteOutcome::Done : WriteOutcome::Unknown,
                             revision = isSameEra ? makeRevision(era, revision_) : 0] {
            engine->writeEnded(id, outcome, revision, now);
        };
        if (withoutAnswers.contains(name))
            heldAnswers_.emplace_back(answer);
        else
            answer();
    }

    void deleteRecord(const std::string &name, const DeleteRecord &record)
    {
        auto &object = objects_[record.key];
        if (cutFromStore.contains(name) || object.revision != storeRevisionOf(record.expected))
            return;
        object.isDeleted = true;
        object.revision = ++revision_;
        takeCopy();
    }

    void deliver(const std::string &from, const SendHeartbeat &send)
    {
        ++heartbeats[from];
        if (onHeartbeat)
            onHeartbeat(from, send);
        const auto to = proxies.find(send.address);
        if (to == proxies.end() || cutFromPeers.contains(from)
            || cutFromPeers.contains(send.address) || paused.contains(send.address))
            return;
        to->second.engine->heartbeat(send.message, now);
    }

    void promote(Proxy &proxy, const OrderPromotion &order)
    {
        orders.push_back(order);
        overtakingOrders += static_cast<unsigned>(std::ranges::count_if(
            heldOrders_, [&](const auto &held) { return held.order.token != order.token; }));
        overtakingOrders += static_cast<unsigned>(std::ranges::count_if(
            ordersOfEndedProcesses_, [&](const auto &ended) { return now < ended.endsBy; }));
        for (const auto &[database, names] : leaseHolders()) {
            for (const auto &name : names) {
                if (database != order.database.value())
                    fencingViolations.push_back(name);
            }
        }
        if (areOrdersHeld) {
            heldOrders_.push_back({proxy.engine.get(), order});
            return;
        }
        if (!areOrdersAnswered) {
            proxy.engine->orderEnded(order.id, OrderOutcome::Unknown, now);
            return;
        }
        if (order.database != primary)
            promotion_ = PendingPromotion{order.database, now + takeOverTime};
        if (takeOverTime == Core::Duration())
            applyPromotion();
        proxy.engine->orderEnded(order.id, OrderOutcome::Accepted, now);
    }

    void endHeldOrders()
    {
        for (std::size_t i = 0; i < heldOrders_.size();) {
            const HeldOrder held = heldOrders_[i];
            if (now < held.order.endsBy) {
                ++i;
                continue;
            }
            heldOrders_.erase(heldOrders_.begin() + static_cast<std::ptrdiff_t>(i));
            held.sender->orderEnded(held.order.id, OrderOutcome::Unknown, now);
        }
    }

    void applyPromotion()
    {
        if (!promotion_ || now < promotion_->at)
            return;
        primary = promotion_->database;
        ++term_;
        promotion_.reset();
    }

    void checkLeases()
    {
        for (const auto &[database, names] : leaseHolders())
            staleLeases += database == primary.value() ? 0 : 1;
    }

    void takeCopy() { copies_.push_back({now, objects_, revision_}); }

    void answerStatus(Proxy &proxy, const QueryStatus &ask)
    {
        if (silentDatabases.contains(ask.database.value()))
            return;
        Sessions::DatabaseStatus status;
        status.role = ask.database == primary ? Sessions::DatabaseRole::Primary
                                              : Sessions::DatabaseRole::Replica;
        status.term = term_;
        // Only the primary has commits of its term.
        status.received = {ask.database == primary ? term_ : 1U,
                           ask.database == Core::DatabaseName("db-3") ? 12U : 11U};
        status.queriedAt = now;
        const auto received = receivedMarks.find(ask.database.value());
        if (received != receivedMarks.end())
            status.received = received->second;
        const auto superseded = supersededPrimaries.find(ask.database.value());
        if (superseded != supersededPrimaries.end() && ask.database != primary) {
            status.role = Sessions::DatabaseRole::Primary;
            status.term = superseded->second;
        }
        proxy.engine->statusAnswered(ask.database, status, now);
    }

    void takeLease(Proxy &proxy, const PrimaryLease &lease)
    {
        proxy.lease = lease;
        if (!proxy.holdsOldPrimary)
            proxy.engine->primaryReleased(lease.group, lease.revision, now);
    }

    std::map<std::string, StoredObject> objects_;
    std::uint64_t revision_ = 0;
    std::vector<Copy> copies_;
    std::optional<PendingPromotion> promotion_;
    std::vector<HeldOrder> heldOrders_;
    std::vector<OrderPromotion> ordersOfEndedProcesses_;
    std::vector<std::function<void()>> heldAnswers_;
    std::uint64_t term_ = 1;
};

} // namespace Chervilpin::Fleet::Testing
