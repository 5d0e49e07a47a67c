#include <Route/Router.h>
#include <Tests/Fakes/FakeGroup.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <variant>

using namespace Chervilpin;
using namespace Chervilpin::Route;
using Core::Duration;
using Core::Instant;
using Core::LogMark;
using Engine::Freshness;
using Engine::RefusalReason;
using Engine::RequestKind;

// clang-format off
TEST_GROUP(Router)
{
    Fakes::FakeGroup group;
    GroupView view{Core::GroupName("registry-1"), group.names()};
    StampSource stamps;
    Router router{{}, Core::Random(3)};
    Instant now{1000};

    void write(int count)
    {
        for (int number = 0; number < count; ++number) {
            const Core::Term term = group.at(0).knownTerm;
            group.execute(0, {.term = term, .kind = Upstream::StatementKind::Write, .text = "1"});
        }
    }
    void pullAll()
    {
        group.pull(1, 1000);
        group.pull(2, 1000);
    }
    void observe(std::size_t index)
    {
        view.observe(group.at(index).name, group.status(index), stamps.next(now), now);
    }
    void observeAll()
    {
        for (std::size_t index = 0; index < group.size(); ++index)
            observe(index);
    }
    [[nodiscard]] RouteRequest read(Freshness freshness, std::optional<LogMark> mark)
    {
        return {.kind = RequestKind::Read, .freshness = freshness, .tokenMark = mark,
                .maximumAge = Duration(1000), .arrived = stamps.next(now),
                .deadline = now + Duration(500)};
    }
    bool isRefusedAsBehind(const SendTo &sent, RouteRequest &request)
    {
        now = now + sent.wait;
        request.excluded.push_back(sent.database);
        const auto answer = group.execute(group.indexOf(sent.database),
                                          {.term = sent.term, .atLeast = sent.atLeast});
        return answer.reason == Upstream::Reason::Behind;
    }
    [[nodiscard]] RouteDecision route(const RouteRequest &request)
    {
        return router.route(request, view, now);
    }
};
// clang-format on

TEST(Router, SendsWritesToThePrimaryUnderItsTerm)
{
    observeAll();
    const auto decision = route({.kind = RequestKind::Write, .deadline = now + Duration(500)});
    CHECK(std::get<SendTo>(decision).database == group.at(0).name);
    LONGS_EQUAL(1, std::get<SendTo>(decision).term);
}

TEST(Router, RefusesAWriteAtOnceWhenTheMajorityIsFenced)
{
    observeAll();
    group.fence(1, 2);
    observe(1);
    CHECK(view.primary().has_value());
    group.fence(2, 2);
    observe(2);
    const auto decision = route({.kind = RequestKind::Write, .deadline = now + Duration(500)});
    CHECK(std::get<Refuse>(decision).reason == RefusalReason::NoPrimary);
    CHECK(std::get<Refuse>(decision).retryAfter > Duration(0));
}

TEST(Router, SendsSessionReadsToReplicasThatHoldTheMark)
{
    write(5);
    pullAll();
    observeAll();
    for (int attempt = 0; attempt < 50; ++attempt) {
        const auto decision = std::get<SendTo>(route(read(Freshness::Session, LogMark{1, 5})));
        CHECK(decision.database != group.at(0).name);
        CHECK(decision.atLeast == (LogMark{1, 5}));
    }
}

TEST(Router, FallsBackToThePrimaryWhenNoReplicaWillCatchUpInTime)
{
    write(5);
    observeAll();
    view.wasBehind(group.at(1).name, Duration(50), now);
    view.wasBehind(group.at(2).name, Duration(50), now);
    const auto decision = std::get<SendTo>(route(read(Freshness::Session, LogMark{1, 5})));
    CHECK(decision.database == group.at(0).name);
}

TEST(Router, SamplesThePrimaryForReadsWithoutAToken)
{
    write(5);
    pullAll();
    observeAll();
    const RouteRequest request = read(Freshness::Session, std::nullopt);
    CHECK(std::holds_alternative<AwaitSample>(route(request)));
    observe(0);
    const auto decision = std::get<SendTo>(route(request));
    CHECK(decision.database != group.at(0).name);
    CHECK(decision.atLeast == (LogMark{1, 5}));
}

TEST(Router, ServesAStatedAgeFromASampleThatIsYoungEnough)
{
    write(5);
    pullAll();
    observeAll();
    write(3);
    now = now + Duration(500);
    const auto decision = std::get<SendTo>(route(read(Freshness::StatedAge, LogMark{})));
    CHECK(decision.database != group.at(0).name);
    CHECK(decision.atLeast == (LogMark{1, 5}));
    now = now + Duration(600);
    CHECK(std::holds_alternative<AwaitSample>(route(read(Freshness::StatedAge, LogMark{}))));
}

TEST(Router, RefusesAMarkFromTheFutureOnceASampleLacksIt)
{
    write(5);
    pullAll();
    observeAll();
    const LogMark futures[] = {{1, 1000}, {1, ~0ULL}, {9, 1}, {~0ULL, ~0ULL}};
    for (const LogMark future : futures) {
        for (const Freshness freshness :
             {Freshness::Session, Freshness::StatedAge, Freshness::Strong}) {
            RouteRequest request = read(freshness, future);
            RouteDecision decision = route(request);
            int rounds = 0;
            while (!std::holds_alternative<Refuse>(decision) && rounds < 1000) {
                now = now + Duration(1);
                if (const auto *const sent = std::get_if<SendTo>(&decision))
                    CHECK(isRefusedAsBehind(*sent, request));
                observe(0);
                decision = route(request);
                ++rounds;
            }
            CHECK(std::get<Refuse>(decision).reason == RefusalReason::NotFreshEnough);
            CHECK(std::get<Refuse>(decision).retryAfter > Duration(0));
            CHECK(now < request.deadline);
        }
    }
}

TEST(Router, DoesNotReadFromASupersededPrimaryWithEqualPosition)
{
    write(3);
    observe(0);
    const std::size_t promoted = group.promoteWithout(0, 2);
    const auto written =
        group.execute(promoted, {.term = 2, .kind = Upstream::StatementKind::Write, .text = "77"});
    const LogMark token = written.status.held;
    // This proxy does not know of the promotion; the session wrote through another proxy.
    for (const ReadGuard guard : {ReadGuard::On, ReadGuard::WithoutTerms}) {
        router = Route::Router({.guard = guard}, Core::Random(3));
        const RouteRequest request = read(Freshness::Session, token);
        const auto decision = route(request);
        const auto *const sent = std::get_if<SendTo>(&decision);
        CHECK((sent != nullptr) == (guard == ReadGuard::WithoutTerms));
        if (sent == nullptr)
            continue;
        const auto answer = group.execute(group.indexOf(sent->database),
                                          {.term = sent->term, .atLeast = sent->atLeast});
        CHECK(answer.verdict == Upstream::Verdict::Done);
        CHECK(std::ranges::find(answer.rows, "77") == answer.rows.end());
        const Stamp asked = stamps.next(now);
        CHECK(verifyRead(sent->demand, answer.status, asked, view, now, guard)
              == ReadVerdict::Release);
        CHECK(verifyRead(sent->demand, answer.status, asked, view, now) == ReadVerdict::Reject);
    }
}

TEST(Router, DoesNotReleaseReadsOfAPossiblySupersededPrimary)
{
    observeAll();
    const std::size_t promoted = group.promoteWithout(0, 2);
    group.execute(promoted, {.term = 2, .kind = Upstream::StatementKind::Write, .text = "77"});
    now = now + Duration(5000);
    router = Route::Router({.strategy = ReadStrategy::PrimaryOnly}, Core::Random(3));
    struct Case
    {
        Freshness freshness;
        ReadVerdict verdict;
    };
    for (const Case &item : {Case{Freshness::Strong, ReadVerdict::Confirm},
                             Case{Freshness::StatedAge, ReadVerdict::Reject}}) {
        const auto sent = std::get<SendTo>(route(read(item.freshness, LogMark{})));
        const Stamp asked = stamps.next(now);
        const auto answer = group.execute(group.indexOf(sent.database), {.term = sent.term});
        CHECK(answer.verdict == Upstream::Verdict::Done);
        view.observe(sent.database, answer.status, asked, now);
        CHECK(verifyRead(sent.demand, answer.status, asked, view, now) == item.verdict);
        CHECK(verifyRead(sent.demand, answer.status, asked, view, now, ReadGuard::WithoutCurrency)
              == ReadVerdict::Release);
    }
}

TEST(Router, AvoidsASlowReplicaAndRetriesItLater)
{
    observeAll();
    const auto countForFirstReplica = [&] {
        int count = 0;
        for (int attempt = 0; attempt < 1000; ++attempt) {
            const auto decision = std::get<SendTo>(route(read(Freshness::Session, LogMark{})));
            count += decision.database == group.at(1).name ? 1 : 0;
        }
        return count;
    };
    CHECK(countForFirstReplica() > 300);
    for (int answer = 0; answer < 20; ++answer) {
        view.started(group.at(1).name, now);
        view.finished(group.at(1).name, Duration(200), now);
        view.started(group.at(2).name, now);
        view.finished(group.at(2).name, Duration(2), now);
    }
    const int whileSlow = countForFirstReplica();
    CHECK(whileSlow > 0 && whileSlow < 50);
    now = now + Duration(30'000);
    CHECK(countForFirstReplica() > 300);
}
