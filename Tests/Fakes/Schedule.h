#pragma once

#include <Confirm/AcknowledgementPolicy.h>
#include <Tests/Fakes/FakeGroup.h>
#include <Tests/Fakes/FakeProxy.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chervilpin::Fakes {

/// The promises that a schedule can break.
enum class Promise {
    None,
    OwnWritesSeen,      ///< A read misses a write of its session acknowledged before it came.
    StrongReadsCurrent, ///< A strong read misses any write acknowledged before it came.
    AgeBoundKept,       ///< An aged read misses a write acknowledged longer ago than its age.
    NothingLost,        ///< A promotion drops an acknowledged write.
    NotRunTrue,         ///< A write that was called "not run" is in a log.
    RunOnce,            ///< A write that must not be repeated ran twice.
};

[[nodiscard]] inline const char *toString(Promise promise)
{
    constexpr std::array names{"none",           "own writes seen", "strong reads current",
                               "age bound kept", "nothing lost",    "not run true",
                               "run once"};
    return names.at(static_cast<std::size_t>(promise));
}

struct ScheduleOptions
{
    FakeProxy::Options proxy;
    std::function<std::unique_ptr<Confirm::AcknowledgementPolicy>()> policy = [] {
        return std::make_unique<Confirm::AcknowledgeAtMajority>();
    };
    TermAdoption adoption = TermAdoption::AtOnce;
    std::size_t groupSize = 3;
};

/// How the calls of a schedule ended; shows that the schedules exercise what they should.
struct ScheduleCounts
{
    std::size_t acknowledged = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t readsReleased = 0;
    std::size_t replicaReads = 0;
    std::size_t promotions = 0;
};

/// Plays a list of numbers as steps of callers, messages, replication and promotions with two
/// proxies and three sessions that roam between them, and checks every promise after every step.
class Schedule
{
public:
    explicit Schedule(const ScheduleOptions &options)
        : group_(options.groupSize, options.adoption)
    {
        for (std::uint64_t index = 0; index < proxyCount; ++index) {
            FakeProxy::Options proxy = options.proxy;
            proxy.seed = index + 1;
            proxies_.push_back(std::make_unique<FakeProxy>(group_, proxy, options.policy()));
            proxies_.back()->probe(clockOf(index));
            for (std::size_t answer = 0; answer < group_.size(); ++answer) {
                proxies_.back()->serve(0);
                proxies_.back()->deliver(0, clockOf(index));
            }
        }
    }

    /// The first promise that a step breaks.
    [[nodiscard]] Promise run(const std::vector<std::uint32_t> &steps)
    {
        for (const std::uint32_t step : steps) {
            play(step);
            for (std::size_t index = 0; index < proxyCount; ++index)
                takeResults(index);
            checkLogs();
            if (broken_ != Promise::None)
                return broken_;
        }
        return Promise::None;
    }

    [[nodiscard]] const ScheduleCounts &counts() const { return counts_; }

private:
    static constexpr std::size_t proxyCount = 2;
    static constexpr std::size_t sessionCount = 3;

    struct Acknowledged
    {
        WriteNumber number = 0;
        std::size_t session = 0;
        Core::Instant at;
    };
    struct Call
    {
        FakeCall call;
        std::size_t session = 0;
        std::size_t acknowledgedBefore = 0; ///< So many writes were acknowledged when it came.
    };

    /// The clocks of two proxies have nothing in common.
    [[nodiscard]] Core::Instant clockOf(std::size_t proxy) const
    {
        return now_ + Core::Duration(static_cast<std::int64_t>(proxy) * 1'000'000);
    }

    void play(std::uint32_t step)
    {
        constexpr std::uint32_t kinds = 40;
        const std::uint32_t kind = step % kinds;
        const std::uint32_t choice = step / kinds;
        const std::size_t proxy = choice % proxyCount;
        const std::uint32_t detail = choice / proxyCount;
        if (kind < 3)
            advance(1 + choice % 8);
        else if (kind < 8)
            write(proxy, detail);
        else if (kind < 14)
            read(proxy, detail);
        else if (kind < 20)
            proxies_[proxy]->serve(detail);
        else if (kind < 31)
            serveAndDeliver(proxy, detail);
        else if (kind < 32)
            proxies_[proxy]->lose(detail, clockOf(proxy));
        else if (kind < 36)
            group_.pull(choice % group_.size(), 1 + detail % 3);
        else
            change(kind, choice);
    }

    void change(std::uint32_t kind, std::uint32_t choice)
    {
        if (kind == 36)
            promote(choice);
        else if (kind == 37 && choice % 8 == 0)
            group_.fence(choice / 8 % group_.size(), group_.highestTerm() + choice / 32 % 2);
        else if (kind == 38)
            followLatest(choice % group_.size());
        else
            probeOrHedge(choice % proxyCount, choice / proxyCount);
    }

    void probeOrHedge(std::size_t proxy, std::uint32_t detail)
    {
        if (detail % 2 == 0)
            proxies_[proxy]->probe(clockOf(proxy));
        else
            proxies_[proxy]->hedge(detail / 2, clockOf(proxy));
    }

    void advance(std::uint32_t milliseconds)
    {
        now_ = now_ + Core::Duration(milliseconds);
        for (std::size_t index = 0; index < proxyCount; ++index)
            proxies_[index]->tick(clockOf(index));
    }

    void write(std::size_t proxy, std::uint32_t detail)
    {
        const std::size_t session = detail % sessionCount;
        const bool isIdempotent = detail / sessionCount % 3 == 0;
        call(proxy, session,
             {.kind = Engine::RequestKind::Write,
              .repeatability = isIdempotent ? Engine::Repeatability::Idempotent
                                            : Engine::Repeatability::NotRepeatable});
    }

    void read(std::size_t proxy, std::uint32_t detail)
    {
        constexpr std::array freshnesses{Engine::Freshness::Session, Engine::Freshness::StatedAge,
                                         Engine::Freshness::Strong};
        const std::size_t session = detail % sessionCount;
        const std::uint32_t variant = detail / sessionCount;
        FakeCall read{.kind = Engine::RequestKind::Read,
                      .freshness = freshnesses[variant % freshnesses.size()],
                      .maximumAge = Core::Duration(25 + variant % 7 * 10)};
        const bool hasToken = variant / 3 % 8 != 0;
        call(proxy, session, read, hasToken);
    }

    void call(std::size_t proxy, std::size_t session, FakeCall call, bool hasToken = true)
    {
        call.id = ++lastId_;
        call.write = call.id;
        call.sessionToken = hasToken ? tokens_[session].encode() : "garbled";
        calls_[call.id] = {call, session, acknowledged_.size()};
        proxies_[proxy]->call(call, clockOf(proxy));
    }

    void serveAndDeliver(std::size_t proxy, std::uint32_t choice)
    {
        if (choice % 2 == 0)
            proxies_[proxy]->serve(choice / 2);
        proxies_[proxy]->deliver(choice / 2, clockOf(proxy));
    }

    void promote(std::uint32_t choice)
    {
        if (choice % 4 != 0)
            return;
        const std::size_t first = choice / 4 % group_.size();
        const std::size_t primary = group_.promoteFrom(first, group_.highestTerm() + 1);
        ++counts_.promotions;
        for (std::size_t offset = 1; offset < group_.size(); ++offset) {
            if ((choice >> (4 + 2 * offset)) % 4 != 0)
                followLatest((primary + offset) % group_.size());
        }
    }

    [[nodiscard]] std::optional<std::size_t> latestPrimary() const
    {
        std::optional<std::size_t> latest;
        for (std::size_t index = 0; index < group_.size(); ++index) {
            const FakeDatabase &database = group_.at(index);
            if (!database.isPrimary())
                continue;
            if (!latest || database.knownTerm > group_.at(*latest).knownTerm)
                latest = index;
        }
        return latest;
    }

    void followLatest(std::size_t index)
    {
        const auto primary = latestPrimary();
        if (primary && *primary != index)
            group_.follow(index, group_.at(*primary).knownTerm, *primary);
    }

    void takeResults(std::size_t proxy)
    {
        for (const FakeResult &result : proxies_[proxy]->takeResults())
            finished(result);
    }

    void finished(const FakeResult &result)
    {
        const Call call = calls_.at(result.id);
        calls_.erase(result.id);
        mergeToken(call.session, result);
        if (call.call.kind == Engine::RequestKind::Read)
            checkRead(call, result);
        else
            noteWrite(call, result);
    }

    void mergeToken(std::size_t session, const FakeResult &result)
    {
        const auto token = Session::SessionToken::decode(result.sessionToken);
        // The callers of a session work side by side, and merge the tokens that they are given.
        const auto mark = token->demandedMark(FakeProxy::groupName());
        if (mark)
            tokens_[session].advance(FakeProxy::groupName(), *mark);
    }

    void noteWrite(const Call &call, const FakeResult &result)
    {
        if (result.outcome == Core::Outcome::Done) {
            acknowledged_.push_back({call.call.write, call.session, now_});
            ++counts_.acknowledged;
        } else if (result.outcome == Core::Outcome::NotRun) {
            notRun_.insert(call.call.write);
            ++counts_.notRun;
        } else {
            ++counts_.unknown;
        }
        if (call.call.repeatability == Engine::Repeatability::NotRepeatable)
            onlyOnce_.insert(call.call.write);
    }

    void checkRead(const Call &call, const FakeResult &result)
    {
        if (result.outcome != Core::Outcome::Done)
            return;
        ++counts_.readsReleased;
        const auto primary = latestPrimary();
        if (!primary || group_.at(*primary).name != result.servedBy)
            ++counts_.replicaReads;
        const bool isStrong = call.call.freshness == Engine::Freshness::Strong;
        const bool isAged = call.call.freshness == Engine::Freshness::StatedAge;
        for (std::size_t index = 0; index < acknowledged_.size(); ++index) {
            const Acknowledged &write = acknowledged_[index];
            if (result.rows.contains(write.number))
                continue;
            const bool isBefore = index < call.acknowledgedBefore;
            if (isBefore && write.session == call.session)
                breakPromise(Promise::OwnWritesSeen);
            else if (isBefore && isStrong)
                breakPromise(Promise::StrongReadsCurrent);
            else if (isAged && now_ - write.at >= call.call.maximumAge)
                breakPromise(Promise::AgeBoundKept);
        }
    }

    void checkLogs()
    {
        for (std::size_t index = 0; index < group_.size(); ++index) {
            for (const WriteNumber number : group_.at(index).writes()) {
                if (notRun_.contains(number))
                    breakPromise(Promise::NotRunTrue);
            }
        }
        for (const WriteNumber number : onlyOnce_) {
            if (group_.executions(number) > 1)
                breakPromise(Promise::RunOnce);
        }
        // A fenced primary is still the one whose log the next promotion has to carry on.
        const FakeDatabase *latest = nullptr;
        for (std::size_t index = 0; index < group_.size(); ++index) {
            const FakeDatabase &database = group_.at(index);
            if (database.role != Upstream::Role::Primary)
                continue;
            if (latest == nullptr || database.logTerm > latest->logTerm)
                latest = &database;
        }
        checkNothingLost(*latest);
    }

    void checkNothingLost(const FakeDatabase &primary)
    {
        const auto writes = primary.writes();
        for (const Acknowledged &write : acknowledged_) {
            if (!writes.contains(write.number))
                breakPromise(Promise::NothingLost);
        }
    }

    void breakPromise(Promise promise)
    {
        if (broken_ == Promise::None)
            broken_ = promise;
    }

    FakeGroup group_;
    std::vector<std::unique_ptr<FakeProxy>> proxies_;
    Core::Instant now_{1000};
    std::uint64_t lastId_ = 0;
    std::array<Session::SessionToken, sessionCount> tokens_;
    std::map<std::uint64_t, Call> calls_;
    std::vector<Acknowledged> acknowledged_;
    std::set<WriteNumber> notRun_;
    std::set<WriteNumber> onlyOnce_;
    ScheduleCounts counts_;
    Promise broken_ = Promise::None;
};

} // namespace Chervilpin::Fakes
