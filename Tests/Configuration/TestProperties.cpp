#include <rapidcheck.h>

#include <Tests/Configuration/Fleet.h>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Configuration;
using namespace Chervilpin::Testing;

namespace {

constexpr int nodeCount = 5;
constexpr Core::Duration stepTime(700);
constexpr Core::Duration healTime(40'000);

std::string nodeName(int index)
{
    return "node-" + std::to_string(index);
}

/// A fleet under a schedule of faults, with what its operators were told.
class Schedule
{
public:
    Schedule(std::uint64_t seed, Guards guards)
        : fleet_(seed)
        , faults_(seed + 1)
        , guards_(guards)
    {
        fleet_.lossPercent = 10;
        fleet_.fault = [this](const std::string &node, const Platform::CallBody &) {
            return chooseFault(node);
        };
        fleet_.isCut = [this](const std::string &from, const std::string &to) {
            return cutNode_ == from || cutNode_ == to;
        };
        for (int i = 0; i < nodeCount; ++i)
            add(i);
        fleet_.run(Core::Duration(2'000));
    }

    void act(int action, int node)
    {
        using Act = void (Schedule::*)(int);
        static constexpr Act acts[] = {
            &Schedule::propose,  &Schedule::propose,  &Schedule::propose,
            &Schedule::cutPeers, &Schedule::cutStore, &Schedule::loseMuch,
            &Schedule::heal,     &Schedule::restart,  &Schedule::staleReads};
        const Act chosen = acts[static_cast<std::size_t>(action)];
        (this->*chosen)(node);
        fleet_.run(stepTime);
    }
    static constexpr int actions = 9;

    void finish()
    {
        heal(0);
        fleet_.run(healTime);
    }

    void check()
    {
        RC_ASSERT(!fleet_.wentBack());
        const auto &reference = fleet_.node(nodeName(0)).snapshot();
        for (int i = 0; i < nodeCount; ++i)
            RC_ASSERT(fleet_.node(nodeName(i)).snapshot()->contents() == reference->contents());
        RC_ASSERT(fleet_.events(EventKind::LogForked) == 0U);
        for (ProposalId id = 1; id <= lastId_; ++id)
            checkAnswer(id, *reference);
    }

private:
    void add(int index)
    {
        fleet_.add(nodeName(index), [this](Settings &settings) {
            settings.guards = guards_;
            settings.snapshotEvery = 3;
            settings.retainedChanges = 2;
            settings.heldChanges = 4;
            settings.platformPartBytes = 300;
            settings.peerPartBytes = 200;
        });
    }

    StoreFault chooseFault(const std::string &node)
    {
        if (storeIsCutFrom_ == node)
            return StoreFault::Refuse;
        constexpr std::uint64_t percent = 100;
        if (faults_.below(percent) >= lossPercent_)
            return StoreFault::None;
        return faults_.below(2) == 0 ? StoreFault::LoseAnswer : StoreFault::LoseCall;
    }

    void propose(int node)
    {
        ++lastId_;
        fleet_.propose(nodeName(node),
                       putTeam(lastId_, "team-" + std::to_string(lastId_ % 3),
                               static_cast<std::uint32_t>(10 + lastId_)));
    }
    void cutPeers(int node) { cutNode_ = nodeName(node); }
    void cutStore(int node) { storeIsCutFrom_ = nodeName(node); }
    void loseMuch(int) { lossPercent_ = 40; }
    void staleReads(int) { fleet_.store.readsFrom = fleet_.store.contents(); }
    void heal(int)
    {
        cutNode_.clear();
        storeIsCutFrom_.clear();
        lossPercent_ = 0;
        fleet_.store.readsFrom.reset();
    }
    void restart(int node)
    {
        fleet_.remove(nodeName(node));
        add(node);
    }

    void checkAnswer(ProposalId id, const Snapshot &snapshot)
    {
        const ProposalAnswer *answer = fleet_.answer(id);
        if (answer == nullptr)
            return; // The node was replaced while it worked on it.
        const auto revision = snapshot.findNonce("nonce-" + std::to_string(id));
        if (answer->outcome == ProposalOutcome::Accepted)
            RC_ASSERT(revision == answer->revision);
        if (answer->outcome == ProposalOutcome::Unavailable)
            RC_ASSERT(!revision.has_value());
    }

    Fleet fleet_;
    Core::Random faults_;
    Guards guards_;
    std::string cutNode_;
    std::string storeIsCutFrom_;
    std::uint64_t lossPercent_ = 0;
    ProposalId lastId_ = 0;
};

/// Checks the promises over that many random schedules.
rc::detail::TestResult runSchedules(Guards guards, int schedules)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20'240'601;
    parameters.maxSuccess = schedules;
    parameters.disableShrinking = true;
    const auto property = [guards] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, Schedule::actions), rc::gen::inRange(0, nodeCount)));
        Schedule schedule(seed, guards);
        for (const auto &[action, node] : steps)
            schedule.act(action, node);
        schedule.finish();
        schedule.check();
    };
    return rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
}

} // namespace

TEST_GROUP(Properties){};

TEST(Properties, RevisionsNeverGoBackAndAcceptedChangesEndInForceEverywhere)
{
    const auto result = runSchedules(Guards(), 60);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CHECK_TEXT(result.is<rc::detail::SuccessResult>(), text.str().c_str());
}

TEST(Properties, SomeScheduleBreaksThePromisesWithAGuardOff)
{
    const Guards unguarded[] = {
        {.neverGoesBack = false},
        {.recognisesNonces = false},
        {.keepsTombstones = false},
    };
    for (const Guards &guards : unguarded)
        CHECK(runSchedules(guards, 600).is<rc::detail::FailureResult>());
}
