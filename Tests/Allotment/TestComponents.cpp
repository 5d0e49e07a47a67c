#include <Allotment/Codec.h>
#include <Allotment/GrantHolder.h>
#include <Allotment/OwnerElection.h>
#include <Allotment/ShareAllocator.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(1'000'000);
const HolderId alice{Core::NodeName("alice"), 1};
const HolderId bob{Core::NodeName("bob"), 1};
const ResourceName team("team/a");
const ShareId firstShare{0, 0};

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
    return {firstShare, id, {{team, held, returned, urgent, 0, urgent, 1}}};
}

struct AllocatorFixture
{
    explicit AllocatorFixture(AllocatorStart how, ResourceLimit limit,
                              const Options &options = oneShare())
        : allocator(options, firstShare, 1, how, start)
    {
        allocator.setLimits({&limit, 1}, start);
    }

    std::int64_t added(const HolderId &holder, const Ask &ask, Core::Instant now)
    {
        const auto grant = allocator.answer(holder, ask, now);
        return grant.has_value() ? grant->entries.front().added : -1;
    }

    ShareAllocator allocator;
};

} // namespace

TEST_GROUP(ShareAllocator){};

TEST(ShareAllocator, GrantedUnitsCountAgainstCapacityUntilTheyExpire)
{
    AllocatorFixture fixture(AllocatorStart::FirstOwner, tokens(1000, 10));
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 20), start));
    LONGS_EQUAL(0, fixture.added(bob, askFor(1, 0, 0, 5), start + 1000_ms));
    // The lifetime, the drift and the margin have passed; refill resumes only at the expiry.
    const Core::Instant expiry = start + oneShare().withDriftMargin(1000_ms);
    LONGS_EQUAL(3, fixture.added(bob, askFor(2, 0, 0, 5), expiry + 3_ms));
}

TEST(ShareAllocator, RefillResumesWhenSpentUnitsAreReported)
{
    AllocatorFixture fixture(AllocatorStart::FirstOwner, tokens(1000, 10));
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 10), start));
    LONGS_EQUAL(0, fixture.added(alice, askFor(2, 4, 0, 6), start + 500_ms));
    LONGS_EQUAL(4, fixture.added(alice, askFor(3, 4, 0, 6), start + 504_ms));
}

TEST(ShareAllocator, NothingIsCreditedBeyondWhatWasGranted)
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
    for (const auto &testCase : cases) {
        AllocatorFixture fixture(AllocatorStart::FirstOwner, tokens(0, 10));
        LONGS_EQUAL_TEXT(4, fixture.added(alice, askFor(1, 0, 0, 4), start), testCase.name);
        (void)fixture.allocator.answer(alice, testCase.ask, start + 1_ms);
        LONGS_EQUAL_TEXT(testCase.left * microUnitsPerUnit, fixture.allocator.level(team),
                         testCase.name);
    }
}

TEST(ShareAllocator, ADuplicateOfAnEarlierAskIsIgnored)
{
    for (const bool isGuardOn : {true, false}) {
        Options options = oneShare();
        options.guards.ownerDeduplicates = isGuardOn;
        const auto limit = ResourceLimit::connections(Core::DatabaseName("d"), 5);
        AllocatorFixture fixture(AllocatorStart::FirstOwner, limit, options);
        const Ask first{firstShare, 1, {{limit.name, 0, 0, 2, 0, 5, 1}}};
        const Ask second{firstShare, 2, {{limit.name, 2, 0, 3, 0, 5, 1}}};
        const Ask others{firstShare, 1, {{limit.name, 0, 0, 5, 0, 5, 1}}};
        LONGS_EQUAL(2, fixture.added(alice, first, start));
        LONGS_EQUAL(3, fixture.added(alice, second, start + 1_ms));
        (void)fixture.allocator.answer(alice, first, start + 2_ms);
        // Alice holds all five units, so none are left for Bob.
        const std::int64_t added = fixture.added(bob, others, start + 3_ms);
        CHECK_EQUAL(isGuardOn, added == 0);
    }
}

TEST(ShareAllocator, ReturnsOfExpiredGrantsAreNotCredited)
{
    AllocatorFixture fixture(AllocatorStart::FirstOwner, tokens(0, 10));
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 10), start));
    fixture.allocator.tick(start + 5_s);
    LONGS_EQUAL(0, fixture.added(alice, askFor(2, 0, 10, 10), start + 5_s));
}

TEST(ShareAllocator, ASuccessorGrantsNothingUntilEarlierGrantsHaveExpired)
{
    const Core::Instant expiry = start + oneShare().withDriftMargin(1000_ms);
    AllocatorFixture fixture(AllocatorStart::Successor, tokens(1000, 10));
    LONGS_EQUAL(0, fixture.added(alice, askFor(1, 0, 0, 5), expiry - 1_ms));
    LONGS_EQUAL(2, fixture.added(alice, askFor(2, 0, 0, 5), expiry + 2_ms));
}

TEST(ShareAllocator, AResourceThatIsDroppedAndAddedAgainIsNotGrantedTwice)
{
    const ResourceLimit limit = tokens(0, 10);
    AllocatorFixture fixture(AllocatorStart::FirstOwner, limit);
    LONGS_EQUAL(10, fixture.added(alice, askFor(1, 0, 0, 10), start));
    fixture.allocator.setLimits({}, start + 1_ms);
    fixture.allocator.setLimits({&limit, 1}, start + 2_ms);
    LONGS_EQUAL(0, fixture.added(bob, askFor(1, 0, 0, 10), start + 3_ms));
}

TEST(ShareAllocator, ASuccessorAdoptsConnectionsThatAreHeld)
{
    const auto limit = ResourceLimit::connections(Core::DatabaseName("d"), 30);
    AllocatorFixture fixture(AllocatorStart::Successor, limit);
    Ask ask{firstShare, 1, {{limit.name, 12, 0, 5, 0, 17, 7}}};
    LONGS_EQUAL(0, fixture.added(alice, ask, start + 1_ms));
    LONGS_EQUAL(30, fixture.allocator.granted(limit.name));
    const Core::Instant expiry = start + oneShare().withDriftMargin(10_s);
    ask.askId = 2;
    ask.entries.front().heldEpoch = 1;
    LONGS_EQUAL(5, fixture.added(alice, ask, expiry));
    LONGS_EQUAL(17, fixture.allocator.granted(limit.name));
}

TEST(ShareAllocator, ARateBelowOnePerSecondAddsUpToWholeTokens)
{
    AllocatorFixture fixture(AllocatorStart::FirstOwner,
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

    /// Requests a token and returns the resulting ask.
    Ask askOnce(Core::Instant now)
    {
        (void)holder.take(team, 1, now + 1_s, now);
        HolderActions actions = holder.flush(now);
        CHECK(!actions.asks.empty());
        return actions.asks.front().ask;
    }

    ShareTable table;
    GrantHolder holder;
};

Grant grantOf(const Ask &ask, std::int64_t units)
{
    return {ask.share, ask.askId, 1, {{team, units, 0, 10 * microUnitsPerUnit}}};
}

} // namespace

TEST_GROUP(GrantHolder){};

TEST(GrantHolder, SpendsOnlyWhatItWasGrantedInTime)
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
        {"just before expiry, counted from the ask", true, 30_ms, 999_ms, true},
        {"at expiry", true, 30_ms, 1000_ms, false},
        {"at expiry, guard disabled", false, 30_ms, 1000_ms, true},
        {"grant received after expiry", true, 1000_ms, 1000_ms, false},
        {"grant received after expiry, guard disabled", false, 1000_ms, 1000_ms, true},
    };
    for (const auto &testCase : cases) {
        Options options = oneShare();
        options.guards.holderExpires = testCase.isExpiryOn;
        HolderFixture fixture(options);
        const Ask ask = fixture.askOnce(start);
        fixture.holder.handleGrant(alice.node, grantOf(ask, 5), start + testCase.grantAfter);
        const Core::Instant spend = start + testCase.spendAfter;
        const auto result = fixture.holder.take(team, 1, spend + 1_s, spend);
        CHECK_EQUAL_TEXT(testCase.isTaken, std::holds_alternative<Taken>(result), testCase.name);
    }
}

TEST(GrantHolder, AcceptsOnlyOneGrantForItsLatestAsk)
{
    HolderFixture fixture;
    const Ask first = fixture.askOnce(start);
    // The first ask times out, so a second one is sent.
    (void)fixture.holder.tick(start + 50_ms);
    (void)fixture.holder.take(team, 1, start + 1_s, start + 90_ms);
    const HolderActions actions = fixture.holder.tick(start + 90_ms);
    CHECK(!actions.asks.empty());
    const Ask second = actions.asks.front().ask;
    fixture.holder.handleGrant(alice.node, grantOf(first, 20), start + 91_ms);
    LONGS_EQUAL(0, fixture.holder.held(team, start + 91_ms));
    fixture.holder.handleGrant(alice.node, grantOf(second, 20), start + 92_ms);
    const std::int64_t held = fixture.holder.held(team, start + 92_ms);
    CHECK(held > 0);
    fixture.holder.handleGrant(alice.node, grantOf(second, 20), start + 93_ms);
    LONGS_EQUAL(held, fixture.holder.held(team, start + 93_ms));
}

TEST(GrantHolder, APendingRequestIsDecidedWithinTheMaximumWait)
{
    HolderFixture fixture;
    (void)fixture.askOnce(start);
    std::size_t decisions = 0;
    for (Core::Instant now = start; now <= start + 200_ms; now = now + 10_ms)
        decisions += fixture.holder.tick(now).decisions.size();
    LONGS_EQUAL(1, decisions);
}

TEST(GrantHolder, RefusalsCarryARetryDelay)
{
    HolderFixture fixture;
    const Ask ask = fixture.askOnce(start);
    const Grant empty{ask.share, ask.askId, 1, {{team, 0, 0, 0}}};
    fixture.holder.handleGrant(alice.node, empty, start + 2_ms);
    const HolderActions actions = fixture.holder.flush(start + 2_ms);
    LONGS_EQUAL(1, actions.decisions.size());
    const auto *refused = std::get_if<Refused>(&actions.decisions.front().result);
    CHECK(refused != nullptr);
    // One token takes 10 ms at 100 per second; the minimum retry delay is 20 ms.
    LONGS_EQUAL(20, refused->retryAfter.milliseconds());
}

namespace {

/// A platform that stores one object.
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

/// Runs an election for a time span, and drops the platform's replies if \a losesReplies.
void drive(OwnerElection &election, OneObject &platform, Core::Instant from, Core::Duration span,
           bool losesReplies = false)
{
    for (Core::Instant now = from; now < from + span; now = now + 10_ms) {
        const auto call = election.tick(now).call;
        if (!call.has_value())
            continue;
        const Platform::ReplyBody reply = platform.handle(*call);
        election.handleReply(losesReplies ? Platform::ReplyBody(Platform::NoAnswer{}) : reply, now);
    }
}

} // namespace

TEST_GROUP(OwnerElection){};

TEST(OwnerElection, TheFirstClaimWinsAndIsRenewed)
{
    OneObject platform;
    OwnerElection election(oneShare(), firstShare, alice);
    election.setCandidacy(Candidacy::First, start);
    drive(election, platform, start, 60_s);
    CHECK(election.isOwner(start + 60_s));
    CHECK(election.isFirstOwner());
    LONGS_EQUAL(1, election.epoch());
}

TEST(OwnerElection, AClaimWhoseReplyWasLostIsRecognised)
{
    OneObject platform;
    OwnerElection election(oneShare(), firstShare, alice);
    election.setCandidacy(Candidacy::First, start);
    (void)platform.handle(*election.tick(start).call);
    election.handleReply(Platform::Missing{}, start);
    (void)platform.handle(*election.tick(start + 1_ms).call);
    election.handleReply(Platform::NoAnswer{}, start + 1_ms);
    CHECK(!election.isOwner(start + 2_ms));
    drive(election, platform, start + 2_ms, 1_s);
    CHECK(election.isOwner(start + 1_s));
    LONGS_EQUAL(1, election.epoch());
}

TEST(OwnerElection, OwnershipEndsOneLeaseAfterTheLastWriteWasSent)
{
    OneObject platform;
    OwnerElection election(oneShare(), firstShare, alice);
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
        {"before the lease has certainly expired", true, 4100_ms, false},
        {"afterwards", true, 6_s, true},
        {"guard disabled", false, 1500_ms, true},
    };
    for (const auto &testCase : cases) {
        Options options = oneShare();
        options.guards.challengerWaits = testCase.isGuardOn;
        OneObject platform;
        OwnerElection first(options, firstShare, alice);
        first.setCandidacy(Candidacy::First, start);
        drive(first, platform, start, 20_ms);
        OwnerElection second(options, firstShare, bob);
        second.setCandidacy(Candidacy::First, start + 20_ms);
        drive(second, platform, start + 20_ms, testCase.after);
        CHECK_EQUAL_TEXT(testCase.isOwner, second.isOwner(start + testCase.after), testCase.name);
        CHECK_TEXT(!second.isFirstOwner(), testCase.name);
    }
}

TEST(OwnerElection, AReleasedShareAndAShareOfAnEarlierIncarnationAreClaimedAtOnce)
{
    OneObject platform;
    OwnerElection first(oneShare(), firstShare, alice);
    first.setCandidacy(Candidacy::First, start);
    drive(first, platform, start, 100_ms);
    OwnerElection restarted(oneShare(), firstShare, {alice.node, 2});
    restarted.setCandidacy(Candidacy::First, start + 100_ms);
    drive(restarted, platform, start + 100_ms, 100_ms);
    CHECK(restarted.isOwner(start + 200_ms));
    LONGS_EQUAL(2, restarted.epoch());
    restarted.setCandidacy(Candidacy::None, start + 200_ms);
    restarted.release(start + 200_ms);
    CHECK(!restarted.isOwner(start + 200_ms));
    drive(restarted, platform, start + 200_ms, 100_ms);
    CHECK(restarted.isReleased());
    OwnerElection next(oneShare(), firstShare, bob);
    next.setCandidacy(Candidacy::First, start + 300_ms);
    drive(next, platform, start + 300_ms, 100_ms);
    CHECK(next.isOwner(start + 400_ms));
    LONGS_EQUAL(3, next.epoch());
}
