#include "ReadExperiment.h"

#include <Confirm/AcknowledgementPolicy.h>
#include <Core/Random.h>
#include <Tests/Fakes/FakeGroup.h>
#include <Tests/Fakes/FakeProxy.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Chervilpin::BenchReads {

namespace {

constexpr std::size_t proxyCount = 3;
constexpr std::size_t sessionCount = 60;
constexpr std::uint64_t perThousand = 1000;
/// Calls that start in a millisecond, in thousandths.
constexpr std::uint64_t writesPerMillisecond = 100;
constexpr std::uint64_t readsPerMillisecond = 900;
/// The mix of reads, in thousandths; the rest are session reads with a token.
constexpr std::uint64_t strongShare = 100;
constexpr std::uint64_t tokenlessShare = 50;
constexpr std::uint64_t agedShare = 300;
constexpr Core::Duration statedAge{1000};
constexpr Core::Duration probeInterval{250};

std::int64_t percentile(std::vector<std::int64_t> &values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

class Experiment
{
public:
    explicit Experiment(const ReadSettings &settings)
        : settings_(settings)
        , random_(settings.seed)
    {
        for (std::uint64_t index = 0; index < proxyCount; ++index) {
            Fakes::FakeProxy::Options options{.seed = settings.seed + index};
            options.router.strategy = settings.strategy;
            options.router.catchUpWait = settings.catchUpWait;
            proxies_.push_back(std::make_unique<Fakes::FakeProxy>(
                group_, options, std::make_unique<Confirm::AcknowledgeAtMajority>()));
        }
    }

    ReadResult run()
    {
        for (; now_ < Core::Instant() + settings_.length; now_ = now_ + Core::Duration(1))
            step();
        result_.p50 = percentile(readLatencies_, 0.5);
        result_.p99 = percentile(readLatencies_, 0.99);
        result_.max = percentile(readLatencies_, 1);
        result_.writeP50 = percentile(writeLatencies_, 0.5);
        return result_;
    }

private:
    struct Call
    {
        Fakes::FakeCall call;
        std::size_t session = 0;
        Core::Instant started;
        std::set<Fakes::WriteNumber> ownWrites;
    };

    void step()
    {
        replicate();
        for (const auto &proxy : proxies_) {
            if (now_.millisecondsSinceOrigin() % probeInterval.milliseconds() == 0)
                proxy->probe(now_);
            proxy->pass({}, now_);
            for (const Fakes::FakeResult &result : proxy->takeResults())
                finished(result);
        }
        if (random_.below(perThousand) < writesPerMillisecond)
            call({.kind = Engine::RequestKind::Write});
        if (random_.below(perThousand) < readsPerMillisecond)
            call(drawRead());
    }

    void replicate()
    {
        const Core::Duration elapsed = now_ - Core::Instant();
        const bool isMiddle = elapsed >= settings_.length / 3 && elapsed < settings_.length * 2 / 3;
        const std::array intervals{settings_.lag.usual,
                                   isMiddle ? settings_.lag.second : settings_.lag.usual};
        for (std::size_t replica = 1; replica <= intervals.size(); ++replica) {
            const std::int64_t interval = intervals[replica - 1].milliseconds();
            constexpr std::size_t everything = 1'000'000;
            if (now_.millisecondsSinceOrigin() % interval == 0)
                group_.pull(replica, everything);
        }
    }

    Fakes::FakeCall drawRead()
    {
        const std::uint64_t draw = random_.below(perThousand);
        Fakes::FakeCall read;
        if (draw < strongShare) {
            read.freshness = Engine::Freshness::Strong;
        } else if (draw < strongShare + tokenlessShare) {
            read.sessionToken = "none";
        } else if (draw < strongShare + tokenlessShare + agedShare) {
            read.freshness = Engine::Freshness::StatedAge;
            read.maximumAge = statedAge;
        }
        return read;
    }

    void call(Fakes::FakeCall call)
    {
        const std::size_t session = random_.below(sessionCount);
        call.id = ++lastId_;
        call.write = call.id;
        if (call.sessionToken.empty())
            call.sessionToken = tokens_[session].encode();
        calls_[call.id] = {call, session, now_, ownWrites_[session]};
        proxies_[random_.below(proxyCount)]->call(call, now_);
    }

    void finished(const Fakes::FakeResult &result)
    {
        const Call call = calls_.at(result.id);
        calls_.erase(result.id);
        if (const auto token = Session::SessionToken::decode(result.sessionToken)) {
            if (const auto mark = token->demandedMark(Fakes::FakeProxy::groupName()))
                tokens_[call.session].advance(Fakes::FakeProxy::groupName(), *mark);
        }
        if (call.call.kind == Engine::RequestKind::Write)
            writeFinished(call, result);
        else
            readFinished(call, result);
    }

    void writeFinished(const Call &call, const Fakes::FakeResult &result)
    {
        ++result_.writes;
        if (result.outcome != Core::Outcome::Done)
            return;
        ++result_.acknowledged;
        ownWrites_[call.session].insert(call.call.write);
        writeLatencies_.push_back((now_ - call.started).milliseconds());
    }

    void readFinished(const Call &call, const Fakes::FakeResult &result)
    {
        ++result_.reads;
        if (result.outcome != Core::Outcome::Done) {
            ++result_.refused;
            return;
        }
        readLatencies_.push_back((now_ - call.started).milliseconds());
        if (result.servedBy != group_.at(0).name)
            ++result_.replicaReads;
        if (!std::ranges::includes(result.rows, call.ownWrites))
            ++result_.staleReads;
    }

    ReadSettings settings_;
    Core::Random random_;
    Fakes::FakeGroup group_;
    std::vector<std::unique_ptr<Fakes::FakeProxy>> proxies_;
    Core::Instant now_;
    std::uint64_t lastId_ = 0;
    std::array<Session::SessionToken, sessionCount> tokens_;
    std::array<std::set<Fakes::WriteNumber>, sessionCount> ownWrites_;
    std::map<std::uint64_t, Call> calls_;
    std::vector<std::int64_t> readLatencies_;
    std::vector<std::int64_t> writeLatencies_;
    ReadResult result_;
};

} // namespace

ReadResult runReadExperiment(const ReadSettings &settings)
{
    return Experiment(settings).run();
}

} // namespace Chervilpin::BenchReads
