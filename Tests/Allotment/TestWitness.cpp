#include <Allotment/OwnerElection.h>
#include <Allotment/Witness.h>

#include <CppUTest/TestHarness.h>

#include <array>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(1'000'000);
const ShareId share{0, 0};
const std::array<Core::NodeName, 2> witnessNames = {Core::NodeName("w1"), Core::NodeName("w2")};

/// Two candidates for one share, two witnesses and one object of the platform.
struct ElectionFixture
{
    explicit ElectionFixture(const Options &options)
        : elections{OwnerElection(options, share, {Core::NodeName("a"), 1}),
                    OwnerElection(options, share, {Core::NodeName("b"), 1})}
        , witnesses{Witness(options), Witness(options)}
        , options_(options)
    {
        for (OwnerElection &election : elections)
            election.setWitnessCandidates({witnessNames.begin(), witnessNames.end()});
        elections[0].setCandidacy(Candidacy::First, start);
        elections[1].setCandidacy(Candidacy::Standby, start);
    }

    void step()
    {
        now = now + 10_ms;
        for (std::size_t i = 0; i < elections.size(); ++i) {
            if (!isPaused[i])
                act(i);
        }
        if (elections[0].isOwner(now) && elections[1].isOwner(now))
            ++ticksWithTwoOwners;
        if (!elections[0].isOwner(now) && !elections[1].isOwner(now))
            ++ticksWithoutOwner;
    }

    void run(Core::Duration span)
    {
        const Core::Instant end = now + span;
        while (now < end)
            step();
    }

    void restartWitness(std::size_t index) { witnesses[index] = Witness(options_); }

    Core::Instant now = start;
    std::array<OwnerElection, 2> elections;
    std::array<Witness, 2> witnesses;
    std::array<bool, 2> isPaused = {false, false};
    std::array<bool, 2> reachesPlatform = {true, true};
    bool reachesWitness[2][2] = {{true, true}, {true, true}}; ///< By candidate and witness.
    std::int64_t ticksWithTwoOwners = 0;
    std::int64_t ticksWithoutOwner = 0;
    Platform::Version version = 0;

private:
    void act(std::size_t index)
    {
        ElectionActions actions = elections[index].tick(now);
        for (const AddressedMessage &message : actions.messages)
            ask(index, message);
        if (actions.call.has_value())
            elections[index].handleReply(handle(index, *actions.call), now);
    }

    void ask(std::size_t index, const AddressedMessage &message)
    {
        const std::size_t to = message.to == witnessNames[0] ? 0 : 1;
        if (!reachesWitness[index][to])
            return;
        if (const auto *request = std::get_if<SupportRequest>(&message.message)) {
            if (const auto support = witnesses[to].answer(*request, now))
                elections[index].handleSupport(message.to, *support, now);
        } else if (const auto *request = std::get_if<TestimonyRequest>(&message.message)) {
            elections[index].handleTestimony(message.to, witnesses[to].answer(*request, now), now);
        }
    }

    Platform::ReplyBody handle(std::size_t index, const Platform::CallBody &body)
    {
        if (!reachesPlatform[index])
            return Platform::NoAnswer{};
        if (const auto *put = std::get_if<Platform::Put>(&body)) {
            if (put->expected != version)
                return Platform::VersionConflict{{put->key, version, value_}};
            value_ = put->value;
            ++version;
        } else if (version == 0) {
            return Platform::Missing{};
        }
        return Platform::Objects{{{"", version, value_}}, 0};
    }

    Options options_;
    std::string value_;
};

void noFault(ElectionFixture &fixture)
{
    fixture.run(60_s);
}

void ownerPaused(ElectionFixture &fixture)
{
    fixture.isPaused[0] = true;
    fixture.run(20_s);
    fixture.isPaused[0] = false;
    fixture.run(20_s);
}

void ownerIsolated(ElectionFixture &fixture)
{
    fixture.reachesPlatform[0] = false;
    fixture.reachesWitness[0][0] = false;
    fixture.reachesWitness[0][1] = false;
    fixture.run(20_s);
}

void ownerKeepsOneWitness(ElectionFixture &fixture)
{
    fixture.reachesPlatform[0] = false;
    fixture.reachesWitness[0][0] = false;
    fixture.reachesWitness[1][1] = false;
    fixture.run(300_s);
}

void platformUnavailable(ElectionFixture &fixture)
{
    fixture.reachesPlatform = {false, false};
    fixture.run(600_s);
}

void witnessRestarts(ElectionFixture &fixture)
{
    fixture.reachesPlatform[0] = false;
    fixture.reachesWitness[0][1] = false;
    for (int i = 0; i < 20; ++i) {
        fixture.restartWitness(0);
        fixture.run(700_ms);
    }
    fixture.reachesWitness[0][0] = false;
    fixture.restartWitness(0);
    fixture.run(20_s);
    fixture.restartWitness(0);
    fixture.restartWitness(1);
    fixture.reachesWitness[0][0] = true;
    fixture.run(5_s);
}

void ownerLosesOneWitness(ElectionFixture &fixture)
{
    fixture.reachesWitness[0][0] = false;
    fixture.reachesWitness[1][0] = false;
    fixture.run(120_s);
}

} // namespace

TEST_GROUP(Witness){};

TEST(Witness, TwoNodesNeverOwnAShareAtOnce)
{
    const struct
    {
        const char *name;
        void (*script)(ElectionFixture &);
        bool Guards::*disabledGuard; ///< The guard that is disabled, if any.
        bool isBroken;
        /// Maximum number of 10 ms ticks without an owner; negative: any.
        std::int64_t maximumGapTicks;
        int finalOwner; ///< Index of the candidate that owns the share at the end; negative: any.
    } cases[] = {
        {"no fault", noFault, nullptr, false, 0, 0},
        // Duration of the support with its drift and margin, one testimony interval, and one poll
        // interval.
        {"owner paused", ownerPaused, nullptr, false, 350, 1},
        {"owner isolated", ownerIsolated, nullptr, false, 350, 1},
        {"owner keeps one witness", ownerKeepsOneWitness, nullptr, false, 0, 0},
        {"platform unavailable", platformUnavailable, nullptr, false, 0, 0},
        {"witness restarts", witnessRestarts, nullptr, false, -1, 1},
        {"owner loses a witness", ownerLosesOneWitness, nullptr, false, 0, 0},
        {"no fault, witness breaks its promises", noFault, &Guards::witnessKeepsPromises, true, -1,
         -1},
        {"no fault, challenger does not wait", noFault, &Guards::challengerWaits, true, -1, -1},
        {"owner isolated, does not stop at its lease", ownerIsolated, &Guards::ownerStopsAtLease,
         true, -1, -1},
    };
    for (const auto &testCase : cases) {
        Options options;
        if (testCase.disabledGuard != nullptr)
            options.guards.*testCase.disabledGuard = false;
        ElectionFixture fixture(options);
        fixture.run(10_s);
        if (testCase.disabledGuard == nullptr)
            CHECK_TEXT(fixture.elections[0].isOwner(fixture.now), testCase.name);
        fixture.ticksWithoutOwner = 0;
        testCase.script(fixture);
        CHECK_EQUAL_TEXT(testCase.isBroken, fixture.ticksWithTwoOwners > 0, testCase.name);
        if (testCase.maximumGapTicks >= 0)
            CHECK_TEXT(fixture.ticksWithoutOwner <= testCase.maximumGapTicks, testCase.name);
        if (testCase.finalOwner >= 0) {
            const auto owner = static_cast<std::size_t>(testCase.finalOwner);
            CHECK_TEXT(fixture.elections[owner].isOwner(fixture.now), testCase.name);
        }
    }
}

TEST(Witness, NeverSupportsAnEpochAfterTestifyingThatItHasEnded)
{
    const Options options;
    Witness witness(options);
    CHECK(witness.answer(SupportRequest{share, 3, 1}, start).has_value());
    CHECK(!witness.answer(TestimonyRequest{share, 3}, start + 2_s).isClear);
    const Core::Instant later = start + options.withDriftMargin(2_s);
    CHECK(witness.answer(TestimonyRequest{share, 3}, later).isClear);
    CHECK(!witness.answer(SupportRequest{share, 3, 2}, later).has_value());
    CHECK(witness.answer(SupportRequest{share, 4, 1}, later).has_value());
}

TEST(Witness, TestifiesNothingUntilPromisesOfAnEarlierIncarnationHaveExpired)
{
    const Options options;
    Witness witness(options);
    CHECK(!witness.answer(TestimonyRequest{share, 3}, start).isClear);
    CHECK(!witness.answer(TestimonyRequest{share, 3}, start + 2_s).isClear);
    CHECK(witness.answer(TestimonyRequest{share, 3}, start + options.withDriftMargin(2_s)).isClear);
}
