#include <Allotment/Codec.h>
#include <Allotment/Holder.h>
#include <Allotment/Ledger.h>
#include <Allotment/OwnerElection.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(1'000'000);
const HolderName alice{Core::NodeName("alice"), 1};
const HolderName bob{Core::NodeName("bob"), 1};
const ResourceName team("team/a");
const ShareId pool{0, 0};

Options oneShare()
{
    Options options;
    options.shards = 1;
    options.shares = 1;
    return options;
}

ResourceLimit tokens(std::int64_t rate, std::int64_t burst)
{
    return ResourceLimit::tokens(Core::TeamName("a"), rate * microUnitsPerUnit, burst);
}

Ask askFor(std::uint64_t id, std::int64_t held, std::int64_t returned, std::int64_t urgent)
{
    return {pool, id, {{team, held, returned, urgent, 0, urgent, 1}}};
}

struct LedgerFixture
{
    explicit LedgerFixture(LedgerStart how, ResourceLimit limit,
                           const Options &options = oneShare())
        : ledger(options, pool, 1, how, start)
    {
        ledger.setLimits({&limit, 1}, start);
    }

    std::int64_t added(const HolderName &holder, const Ask &ask, Core::Instant now)
    {
        const auto grant = ledger.answer(holder, ask, now);
        return grant.has_value() ? grant->entries.front().added : -1;
    }

    Ledger ledger;
};

} // namespace

TEST_GROUP(Ledger){};

TEST(Ledger, GrantedUnitsLeaveNoRoomUntilTheyLapse)
{
    LedgerFixture fixture(LedgerStart::FirstOwner, tokens(1000, 10));
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 20), start));
    LONGS_EQUAL(0, fixture.added(bob, askFor(1, 0, 0, 5), start + 1000_ms));
    // The lifetime, the drift and the margin are over; creation went on from the lapse only.
    const Core::Instant lapse = start + oneShare().stretched(1000_ms);
    LONGS_EQUAL(3, fixture.added(bob, askFor(2, 0, 0, 5), lapse + 3_ms));
}

TEST(Ledger, SpentUnitsThatAreReportedMakeRoomFromThenOn)
{
    LedgerFixture fixture(LedgerStart::FirstOwner, tokens(1000, 10));
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 10), start));
    LONGS_EQUAL(0, fixture.added(alice, askFor(2, 4, 0, 6), start + 500_ms));
    LONGS_EQUAL(4, fixture.added(alice, askFor(3, 4, 0, 6), start + 504_ms));
}

TEST(Ledger, NothingIsCreditedBeyondWhatWasGranted)
{
    struct
    {
        const char *name;
        Ask ask;
        std::int64_t left;
    } const cases[] = {
        {"more returned than granted", askFor(2, 0, 50, 0), 10},
        {"returned and still held", askFor(2, 4, 4, 0), 6},
        {"a late ask", askFor(1, 0, 4, 0), 6},
    };
    for (const auto &one : cases) {
        LedgerFixture fixture(LedgerStart::FirstOwner, tokens(0, 10));
        LONGS_EQUAL_TEXT(4, fixture.added(alice, askFor(1, 0, 0, 4), start), one.name);
        (void)fixture.ledger.answer(alice, one.ask, start + 1_ms);
        LONGS_EQUAL_TEXT(one.left * microUnitsPerUnit, fixture.ledger.level(team), one.name);
    }
}

TEST(Ledger, AnAskThatIsDoubledLateChangesNothing)
{
    for (const bool isGuardOn : {true, false}) {
        Options options = oneShare();
        options.guards.ownerDedupes = isGuardOn;
        const auto limit = ResourceLimit::connections(Core::DatabaseName("d"), 5);
        LedgerFixture fixture(LedgerStart::FirstOwner, limit, options);
        const Ask first{pool, 1, {{limit.name, 0, 0, 2, 0, 5, 1}}};
        const Ask second{pool, 2, {{limit.name, 2, 0, 3, 0, 5, 1}}};
        const Ask others{pool, 1, {{limit.name, 0, 0, 5, 0, 5, 1}}};
        LONGS_EQUAL(2, fixture.added(alice, first, start));
        LONGS_EQUAL(3, fixture.added(alice, second, start + 1_ms));
        (void)fixture.ledger.answer(alice, first, start + 2_ms);
        // Alice has all five, so there is nothing left for Bob.
        const std::int64_t added = fixture.added(bob, others, start + 3_ms);
        CHECK_EQUAL(isGuardOn, added == 0);
    }
}

TEST(Ledger, ReturnsOfAForgottenHolderAreNotCredited)
{
    LedgerFixture fixture(LedgerStart::FirstOwner, tokens(0, 10));
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 10), start));
    fixture.ledger.tick(start + 5_s);
    LONGS_EQUAL(0, fixture.added(alice, askFor(2, 0, 10, 10), start + 5_s));
}

TEST(Ledger, ASuccessorGrantsNothingUntilEarlierGrantsHaveLapsed)
{
    const Core::Instant lapse = start + oneShare().stretched(1000_ms);
    LedgerFixture fixture(LedgerStart::Successor, tokens(1000, 10));
    LONGS_EQUAL(0, fixture.added(alice, askFor(1, 0, 0, 5), lapse - 1_ms));
    LONGS_EQUAL(2, fixture.added(alice, askFor(2, 0, 0, 5), lapse + 2_ms));
}

TEST(Ledger, AResourceThatIsDroppedAndAddedAgainIsNotGrantedTwice)
{
    const ResourceLimit limit = tokens(0, 10);
    LedgerFixture fixture(LedgerStart::FirstOwner, limit);
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 10), start));
    fixture.ledger.setLimits({}, start + 1_ms);
    fixture.ledger.setLimits({&limit, 1}, start + 2_ms);
    LONGS_EQUAL(0, fixture.added(bob, askFor(1, 0, 0, 10), start + 3_ms));
}

TEST(Ledger, ASuccessorAdoptsConnectionsThatAreHeld)
{
    const auto limit = ResourceLimit::connections(Core::DatabaseName("d"), 30);
    LedgerFixture fixture(LedgerStart::Successor, limit);
    Ask ask{pool, 1, {{limit.name, 12, 0, 5, 0, 17, 7}}};
    LONGS_EQUAL(0, fixture.added(alice, ask, start + 1_ms));
    LONGS_EQUAL(30, fixture.ledger.granted(limit.name));
    const Core::Instant lapse = start + oneShare().stretched(10_s);
    ask.askId = 2;
    ask.entries.front().heldEpoch = 1;
    LONGS_EQUAL(5, fixture.added(alice, ask, lapse));
    LONGS_EQUAL(17, fixture.ledger.granted(limit.name));
}

TEST(Ledger, ARateBelowOnePerSecondAddsUpToWholeTokens)
{
    LedgerFixture fixture(LedgerStart::FirstOwner,
                          {team, ResourceKind::Consumable, microUnitsPerUnit / 60, 1});
    LONGS_EQUAL(1, fixture.added(alice, askFor(1, 0, 0, 1), start));
    LONGS_EQUAL(0, fixture.added(alice, askFor(2, 0, 0, 1), start + 59_s));
    LONGS_EQUAL(1, fixture.added(alice, askFor(3, 0, 0, 1), start + 62_s));
}

namespace {

struct HolderFixture
{
    explicit HolderFixture(const Options &options = oneShare())
        : table(options)
        , holder(options, table)
    {
        const std::vector<Core::NodeName> members = {alice.node};
        table.setMembers(members);
        const ResourceLimit limit = tokens(100, 50);
        holder.setLimits({&limit, 1});
    }

    /// Requests a token and returns the ask that this leads to.
    Ask askOnce(Core::Instant now)
    {
        (void)holder.take(team, 1, now + 1_s, now);
        HolderActions actions = holder.flush(now);
        CHECK(!actions.asks.empty());
        return actions.asks.front().ask;
    }

    ShareTable table;
    Holder holder;
};

Grant grantOf(const Ask &ask, std::int64_t units)
{
    return {ask.share, ask.askId, 1, {{team, units, 0, 10 * microUnitsPerUnit}}};
}

} // namespace

TEST_GROUP(Holder){};

TEST(Holder, SpendsOnlyWhatItWasGrantedInTime)
{
    struct
    {
        const char *name;
        bool isExpiryOn;
        Core::Duration grantAfter;
        Core::Duration spendAfter;
        bool isTaken;
    } const cases[] = {
        {"at once", true, 1_ms, 2_ms, true},
        {"just before the end, counted from the ask", true, 30_ms, 999_ms, true},
        {"at the end", true, 30_ms, 1000_ms, false},
        {"at the end, guard off", false, 30_ms, 1000_ms, true},
        {"grant came too late", true, 1000_ms, 1000_ms, false},
        {"grant came too late, guard off", false, 1000_ms, 1000_ms, true},
    };
    for (const auto &one : cases) {
        Options options = oneShare();
        options.guards.holderExpires = one.isExpiryOn;
        HolderFixture fixture(options);
        const Ask ask = fixture.askOnce(start);
        fixture.holder.granted(alice.node, grantOf(ask, 5), start + one.grantAfter);
        const Core::Instant spend = start + one.spendAfter;
        const auto result = fixture.holder.take(team, 1, spend + 1_s, spend);
        CHECK_EQUAL_TEXT(one.isTaken, std::holds_alternative<Taken>(result), one.name);
    }
}

TEST(Holder, HeedsOneAnswerToItsLatestAskOnly)
{
    HolderFixture fixture;
    const Ask first = fixture.askOnce(start);
    // The first goes unanswered for so long that a second is sent.
    (void)fixture.holder.tick(start + 50_ms);
    (void)fixture.holder.take(team, 1, start + 1_s, start + 90_ms);
    const HolderActions actions = fixture.holder.tick(start + 90_ms);
    CHECK(!actions.asks.empty());
    const Ask second = actions.asks.front().ask;
    fixture.holder.granted(alice.node, grantOf(first, 20), start + 91_ms);
    LONGS_EQUAL(0, fixture.holder.held(team, start + 91_ms));
    fixture.holder.granted(alice.node, grantOf(second, 20), start + 92_ms);
    const std::int64_t held = fixture.holder.held(team, start + 92_ms);
    CHECK(held > 0);
    fixture.holder.granted(alice.node, grantOf(second, 20), start + 93_ms);
    LONGS_EQUAL(held, fixture.holder.held(team, start + 93_ms));
}

TEST(Holder, EachPendingRequestIsDecidedInTime)
{
    HolderFixture fixture;
    (void)fixture.askOnce(start);
    std::size_t decisions = 0;
    for (Core::Instant now = start; now <= start + 200_ms; now = now + 10_ms)
        decisions += fixture.holder.tick(now).decisions.size();
    LONGS_EQUAL(1, decisions);
}

TEST(Holder, RefusalsSayWhenToComeBack)
{
    HolderFixture fixture;
    const Ask ask = fixture.askOnce(start);
    const Grant empty{ask.share, ask.askId, 1, {{team, 0, 0, 0}}};
    fixture.holder.granted(alice.node, empty, start + 2_ms);
    const HolderActions actions = fixture.holder.flush(start + 2_ms);
    LONGS_EQUAL(1, actions.decisions.size());
    const auto *refused = std::get_if<Refused>(&actions.decisions.front().result);
    CHECK(refused != nullptr);
    // One token at 100/s takes 10 ms; nobody is asked to come back sooner than in 20 ms.
    LONGS_EQUAL(20, refused->retryAfter.milliseconds());
}

namespace {

/// A platform that holds one object.
struct OneObject
{
    Platform::Object object;

    Platform::ReplyBody handle(const Platform::CallBody &body)
    {
        if (const auto *put = std::get_if<Platform::Put>(&body)) {
            if (put->expected != object.version)
                return Platform::VersionConflict{object};
            object.value = put->value;
            object.key = put->key;
            ++object.version;
            return Platform::Objects{{object}, 0};
        }
        if (object.version == 0)
            return Platform::Missing{};
        return Platform::Objects{{object}, 0};
    }
};

/// Runs an election for a span; answers are lost as asked.
void drive(OwnerElection &election, OneObject &platform, Core::Instant from, Core::Duration span,
           bool losesAnswers = false)
{
    for (Core::Instant now = from; now < from + span; now = now + 10_ms) {
        const auto call = election.tick(now).call;
        if (!call.has_value())
            continue;
        const Platform::ReplyBody reply = platform.handle(*call);
        election.reply(losesAnswers ? Platform::ReplyBody(Platform::NoAnswer{}) : reply, now);
    }
}

} // namespace

TEST_GROUP(OwnerElection){};

TEST(OwnerElection, TheFirstClaimWinsAndIsRenewed)
{
    OneObject platform;
    OwnerElection election(oneShare(), pool, alice);
    election.setCandidacy(Candidacy::First, start);
    drive(election, platform, start, 60_s);
    CHECK(election.isOwner(start + 60_s));
    CHECK(election.isFirstOwner());
    LONGS_EQUAL(1, election.epoch());
}

TEST(OwnerElection, AClaimWhoseAnswerWasLostIsRecognised)
{
    OneObject platform;
    OwnerElection election(oneShare(), pool, alice);
    election.setCandidacy(Candidacy::First, start);
    (void)platform.handle(*election.tick(start).call);
    election.reply(Platform::Missing{}, start);
    (void)platform.handle(*election.tick(start + 1_ms).call);
    election.reply(Platform::NoAnswer{}, start + 1_ms);
    CHECK(!election.isOwner(start + 2_ms));
    drive(election, platform, start + 2_ms, 1_s);
    CHECK(election.isOwner(start + 1_s));
    LONGS_EQUAL(1, election.epoch());
}

TEST(OwnerElection, TheRightEndsWithTheLeaseCountedFromTheLastWriteSent)
{
    OneObject platform;
    OwnerElection election(oneShare(), pool, alice);
    election.setCandidacy(Candidacy::First, start);
    drive(election, platform, start, 20_ms);
    const Core::Instant sent = start + 10_ms;
    CHECK(election.isOwner(sent + 3999_ms));
    CHECK(!election.isOwner(sent + 4000_ms));
    drive(election, platform, start + 20_ms, 10_s, true);
    CHECK(!election.isOwner(sent + 4000_ms));
}

TEST(OwnerElection, AChallengerWaitsForAWholeLeaseWithoutRenewal)
{
    struct
    {
        const char *name;
        bool isGuardOn;
        Core::Duration after;
        bool isOwner;
    } const cases[] = {
        {"before the lease has lapsed for certain", true, 4100_ms, false},
        {"after", true, 6_s, true},
        {"guard off", false, 1500_ms, true},
    };
    for (const auto &one : cases) {
        Options options = oneShare();
        options.guards.lapseIsWaitedFor = one.isGuardOn;
        OneObject platform;
        OwnerElection first(options, pool, alice);
        first.setCandidacy(Candidacy::First, start);
        drive(first, platform, start, 20_ms);
        OwnerElection second(options, pool, bob);
        second.setCandidacy(Candidacy::First, start + 20_ms);
        drive(second, platform, start + 20_ms, one.after);
        CHECK_EQUAL_TEXT(one.isOwner, second.isOwner(start + one.after), one.name);
        CHECK_TEXT(!second.isFirstOwner(), one.name);
    }
}

TEST(OwnerElection, AReleasedShareAndAnEarlierLifesShareAreTakenAtOnce)
{
    OneObject platform;
    OwnerElection first(oneShare(), pool, alice);
    first.setCandidacy(Candidacy::First, start);
    drive(first, platform, start, 100_ms);
    OwnerElection reborn(oneShare(), pool, {alice.node, 2});
    reborn.setCandidacy(Candidacy::First, start + 100_ms);
    drive(reborn, platform, start + 100_ms, 100_ms);
    CHECK(reborn.isOwner(start + 200_ms));
    LONGS_EQUAL(2, reborn.epoch());
    reborn.setCandidacy(Candidacy::None, start + 200_ms);
    reborn.release(start + 200_ms);
    CHECK(!reborn.isOwner(start + 200_ms));
    drive(reborn, platform, start + 200_ms, 100_ms);
    CHECK(reborn.isReleased());
    OwnerElection next(oneShare(), pool, bob);
    next.setCandidacy(Candidacy::First, start + 300_ms);
    drive(next, platform, start + 300_ms, 100_ms);
    CHECK(next.isOwner(start + 400_ms));
    LONGS_EQUAL(3, next.epoch());
}
