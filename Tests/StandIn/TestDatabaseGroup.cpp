#include "Databases.h"

#include <Core/Random.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::StandIn;
using Upstream::Verdict;

TEST_GROUP(DatabaseGroup){};

namespace {

constexpr std::size_t groupSize = 3;
constexpr std::size_t majority = 2;

/// One coordinator of a failover, which may stop for any time between any two of its steps.
struct Coordinator
{
    Core::Term term = 0;
    std::map<std::size_t, Core::LogMark> fenced;
    std::optional<std::size_t> chosen;
    bool hasPromoted = false;
};

/// A batch on its way; it may arrive late, twice or never.
struct TravellingBatch
{
    std::size_t to = 0;
    ReplicationBatch batch;
};

struct Written
{
    LogEntry entry;
    bool isAcknowledged = false;
};

struct Promotion
{
    Core::Term term = 0;
    std::vector<LogEntry> log;
};

/// Three databases, writers, coordinators and a network, driven in an order drawn from a seed.
class Group
{
public:
    Group(std::uint64_t seed, DatabaseRules rules)
        : random_(seed)
    {
        for (const auto *name : {"a", "b", "c"}) {
            auto settings = settingsOf(name, rules);
            settings.maximumBatchEntries = 1 + random_.below(3);
            databases_.emplace_back(settings);
        }
    }

    /// Runs steps until a promise is broken; says which, or is empty.
    std::string run(std::size_t steps)
    {
        for (std::size_t step = 0; step < steps && broken_.empty(); ++step) {
            takeStep();
            sample();
            acknowledge();
            checkHolders();
        }
        return broken_;
    }

    [[nodiscard]] std::size_t promotions() const { return promotions_.size(); }
    [[nodiscard]] std::size_t acknowledged() const
    {
        return static_cast<std::size_t>(
            std::count_if(written_.begin(), written_.end(),
                          [](const auto &written) { return written.isAcknowledged; }));
    }

private:
    void takeStep()
    {
        using Step = void (Group::*)();
        constexpr std::array<Step, 10> steps{
            &Group::write,   &Group::write,   &Group::pull,       &Group::pull,       &Group::pull,
            &Group::deliver, &Group::deliver, &Group::coordinate, &Group::coordinate, &Group::elect,
        };
        (this->*steps.at(random_.below(steps.size())))();
    }

    std::size_t anyDatabase() { return random_.below(groupSize); }

    void write()
    {
        auto &database = databases_[anyDatabase()];
        const auto term = database.status().held.term;
        const auto text = "append k " + std::to_string(written_.size());
        if (StandIn::write(database, term, text).verdict == Verdict::Done)
            written_.push_back({database.log().back()});
    }

    void pull()
    {
        const auto replica = anyDatabase();
        const auto next = databases_[replica].nextPull();
        if (!next)
            return;
        const auto primary = databases_[replica].status().primary;
        for (const auto &database : databases_) {
            if (database.name() == primary)
                travelling_.push_back({replica, database.serve(*next)});
        }
        // Most answers arrive at once, so that the log gets on.
        if (random_.below(4) != 0)
            databases_[replica].receive(travelling_.back().batch);
    }

    void deliver()
    {
        if (travelling_.empty())
            return;
        const auto &late = travelling_[random_.below(travelling_.size())];
        databases_[late.to].receive(late.batch);
    }

    void elect()
    {
        // Not at each turn, or no term would last long enough to write in it.
        if (random_.below(5) == 0)
            coordinators_.push_back({++lastTerm_});
    }

    void coordinate()
    {
        if (coordinators_.empty())
            return;
        auto &coordinator = coordinators_[random_.below(coordinators_.size())];
        if (!coordinator.chosen)
            return fence(coordinator);
        if (!coordinator.hasPromoted)
            return promote(coordinator);
        const auto primary = databases_[*coordinator.chosen].name();
        const auto other = anyDatabase();
        if (other != *coordinator.chosen)
            (void)databases_[other].follow({coordinator.term, primary, ""});
    }

    void fence(Coordinator &coordinator)
    {
        const auto index = anyDatabase();
        const auto answer = databases_[index].fence({coordinator.term});
        if (answer.verdict != Verdict::Done || coordinator.fenced.contains(index))
            return;
        coordinator.fenced[index] = answer.status.held;
        if (coordinator.fenced.size() < majority)
            return;
        const auto highest = std::max_element(
            coordinator.fenced.begin(), coordinator.fenced.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        coordinator.chosen = highest->first;
    }

    void promote(Coordinator &coordinator)
    {
        const auto &database = databases_[*coordinator.chosen];
        if (databases_[*coordinator.chosen].promote({coordinator.term}).verdict != Verdict::Done)
            return;
        coordinator.hasPromoted = true;
        promotions_.push_back({coordinator.term, {database.log().begin(), database.log().end()}});
        for (const auto &written : written_) {
            if (written.isAcknowledged)
                checkPromotion(promotions_.back(), written);
        }
    }

    /// Anyone may ask for a status at any time and use it much later.
    void sample()
    {
        const auto index = anyDatabase();
        const auto held = databases_[index].status().held;
        auto &known = reported_[{index, held.term}];
        known = std::max(known, held.position);
    }

    void acknowledge()
    {
        for (auto &written : written_) {
            if (written.isAcknowledged || holders(written.entry.mark) < majority)
                continue;
            written.isAcknowledged = true;
            for (const auto &promotion : promotions_)
                checkPromotion(promotion, written);
        }
    }

    std::size_t holders(Core::LogMark mark) const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < groupSize; ++index) {
            const auto found = reported_.find({index, mark.term});
            if (found != reported_.end() && found->second >= mark.position)
                ++count;
        }
        return count;
    }

    void checkPromotion(const Promotion &promotion, const Written &written)
    {
        const auto mark = written.entry.mark;
        if (promotion.term <= mark.term)
            return;
        const auto isKept = promotion.log.size() >= mark.position
            && promotion.log[mark.position - 1] == written.entry;
        if (!isKept)
            broken_ = "a later primary lacks an acknowledged write";
    }

    void checkHolders()
    {
        for (const auto &database : databases_) {
            for (const auto &written : written_) {
                const auto mark = written.entry.mark;
                if (!written.isAcknowledged || !database.holds(mark))
                    continue;
                if (database.log()[mark.position - 1] != written.entry)
                    broken_ = "a database claims a write that it lacks";
            }
        }
    }

    Core::Random random_;
    std::vector<DatabaseState> databases_;
    std::vector<Coordinator> coordinators_;
    std::vector<TravellingBatch> travelling_;
    std::vector<Written> written_;
    std::vector<Promotion> promotions_;
    std::map<std::pair<std::size_t, Core::Term>, Core::LogPosition> reported_;
    Core::Term lastTerm_ = 1;
    std::string broken_;
};

constexpr std::uint64_t seeds = 3000;
constexpr std::size_t stepsPerSeed = 150;

/// How many of the seeds break a promise.
std::size_t brokenRuns(DatabaseRules rules)
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Group group(seed, rules);
        if (!group.run(stepsPerSeed).empty())
            ++broken;
    }
    return broken;
}

} // namespace

TEST(DatabaseGroup, AcknowledgedWritesOutliveEveryFailover)
{
    std::size_t promotions = 0;
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Group group(seed, {});
        const auto broken = group.run(stepsPerSeed);
        STRCMP_EQUAL_TEXT("", broken.c_str(), ("seed " + std::to_string(seed)).c_str());
        promotions += group.promotions();
        acknowledged += group.acknowledged();
    }
    // Otherwise nothing would have been tried.
    CHECK(promotions > seeds);
    CHECK(acknowledged > seeds);
}

TEST(DatabaseGroup, WritesGetLostWithoutAFenceOfReplication)
{
    CHECK(brokenRuns({.stopsReplication = false}) > 0);
}

TEST(DatabaseGroup, WritesGetLostIfATermIsClaimedBeforeItsFirstEntry)
{
    CHECK(brokenRuns({.reconcilesAtOnce = false}) > 0);
}
