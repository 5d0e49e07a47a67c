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

/// Two nodes that want the same share, two witnesses and one object of the platform.
struct Duel
{
    explicit Duel(const Options &options)
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
            ++bothOwn;
        if (!elections[0].isOwner(now) && !elections[1].isOwner(now))
            ++nobodyOwns;
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
    bool reaches[2][2] = {{true, true}, {true, true}}; ///< By node and witness.
    std::int64_t bothOwn = 0;
    std::int64_t nobodyOwns = 0;
    Platform::Version version = 0;

private:
    void act(std::size_t index)
    {
        ElectionActions actions = elections[index].tick(now);
        for (const AddressedMessage &message : actions.messages)
            ask(index, message);
        if (actions.call.has_value())
            elections[index].reply(handle(index, *actions.call), now);
    }

    void ask(std::size_t index, const AddressedMessage &message)
    {
        const std::size_t to = message.to == witnessNames[0] ? 0 : 1;
        if (!reaches[index][to])
            return;
        if (const auto *request = std::get_if<SupportRequest>(&message.message)) {
            if (const auto support = witnesses[to].answer(*request, now))
                elections[index].supported(message.to, *support, now);
        } else if (const auto *request = std::get_if<TestimonyRequest>(&message.message)) {
            elections[index].testified(message.to, witnesses[to].answer(*request, now), now);
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

void calm(Duel &duel)
{
    duel.run(60_s);
}

void ownerPaused(Duel &duel)
{
    duel.isPaused[0] = true;
    duel.run(20_s);
    duel.isPaused[0] = false;
    duel.run(20_s);
}

void ownerCutFromAll(Duel &duel)
{
    duel.reachesPlatform[0] = false;
    duel.reaches[0][0] = false;
    duel.reaches[0][1] = false;
    duel.run(20_s);
}

void ownerKeepsOneWitness(Duel &duel)
{
    duel.reachesPlatform[0] = false;
    duel.reaches[0][0] = false;
    duel.reaches[1][1] = false;
    duel.run(300_s);
}

void platformOut(Duel &duel)
{
    duel.reachesPlatform = {false, false};
    duel.run(600_s);
}

void witnessRestarts(Duel &duel)
{
    duel.reachesPlatform[0] = false;
    duel.reaches[0][1] = false;
    for (int i = 0; i < 20; ++i) {
        duel.restartWitness(0);
        duel.run(700_ms);
    }
    duel.reaches[0][0] = false;
    duel.restartWitness(0);
    duel.run(20_s);
    duel.restartWitness(0);
    duel.restartWitness(1);
    duel.reaches[0][0] = true;
    duel.run(5_s);
}

void ownerLosesOneWitness(Duel &duel)
{
    duel.reaches[0][0] = false;
    duel.reaches[1][0] = false;
    duel.run(120_s);
}

} // namespace

TEST_GROUP(Witness){};

TEST(Witness, TwoNodesNeverOwnAShareAtOnce)
{
    const struct
    {
        const char *name;
        void (*script)(Duel &);
        bool Guards::*off; ///< The guard that is off, if any.
        bool isBroken;
        std::int64_t longestGap; ///< Ticks of 10 ms in which nobody may own; negative: any.
        int ownerAtEnd;          ///< Negative: any.
    } cases[] = {
        {"calm", calm, nullptr, false, 0, 0},
        // The support, its drift and margin, one interval between testimonies, one poll.
        {"owner paused", ownerPaused, nullptr, false, 350, 1},
        {"owner cut from all", ownerCutFromAll, nullptr, false, 350, 1},
        {"owner keeps one witness", ownerKeepsOneWitness, nullptr, false, 0, 0},
        {"platform out", platformOut, nullptr, false, 0, 0},
        {"witness restarts", witnessRestarts, nullptr, false, -1, 1},
        {"owner loses a witness", ownerLosesOneWitness, nullptr, false, 0, 0},
        {"calm, promises not kept", calm, &Guards::promisesAreKept, true, -1, -1},
        {"calm, lapse not waited for", calm, &Guards::lapseIsWaitedFor, true, -1, -1},
        {"owner cut from all, goes on", ownerCutFromAll, &Guards::ownerStopsAtLease, true, -1, -1},
    };
    for (const auto &one : cases) {
        Options options;
        if (one.off != nullptr)
            options.guards.*one.off = false;
        Duel duel(options);
        duel.run(10_s);
        if (one.off == nullptr)
            CHECK_TEXT(duel.elections[0].isOwner(duel.now), one.name);
        duel.nobodyOwns = 0;
        one.script(duel);
        CHECK_EQUAL_TEXT(one.isBroken, duel.bothOwn > 0, one.name);
        if (one.longestGap >= 0)
            CHECK_TEXT(duel.nobodyOwns <= one.longestGap, one.name);
        if (one.ownerAtEnd >= 0) {
            const auto owner = static_cast<std::size_t>(one.ownerAtEnd);
            CHECK_TEXT(duel.elections[owner].isOwner(duel.now), one.name);
        }
    }
}

TEST(Witness, NeverSupportsWhatItHasTestifiedTheEndOf)
{
    const Options options;
    Witness witness(options);
    CHECK(witness.answer(SupportRequest{share, 3, 1}, start).has_value());
    CHECK(!witness.answer(TestimonyRequest{share, 3}, start + 2_s).isClear);
    const Core::Instant later = start + options.stretched(2_s);
    CHECK(witness.answer(TestimonyRequest{share, 3}, later).isClear);
    CHECK(!witness.answer(SupportRequest{share, 3, 2}, later).has_value());
    CHECK(witness.answer(SupportRequest{share, 4, 1}, later).has_value());
}

TEST(Witness, TestifiesNothingUntilAnEarlierLifesPromisesHaveRunOut)
{
    const Options options;
    Witness witness(options);
    CHECK(!witness.answer(TestimonyRequest{share, 3}, start).isClear);
    CHECK(!witness.answer(TestimonyRequest{share, 3}, start + 2_s).isClear);
    CHECK(witness.answer(TestimonyRequest{share, 3}, start + options.stretched(2_s)).isClear);
}
