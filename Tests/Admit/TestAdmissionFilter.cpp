#include <Admit/AdmissionFilter.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Admit;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(1'000'000);
const Core::TeamName team("clerks");
constexpr std::int64_t burst = 3;

/// One node that owns all shares of a fleet of one; the platform answers at once.
struct Fixture
{
    Fixture()
        : manager(*Allotment::Manager::create({Core::NodeName("node"), 1}, Allotment::Options()))
        , filter(*manager)
    {
        const auto limit =
            Allotment::ResourceLimit::tokens(team, Allotment::microUnitsPerUnit, burst);
        manager->setLimits({&limit, 1}, start);
        const std::vector<Core::NodeName> members = {Core::NodeName("node")};
        manager->setMembers(members, start);
        drive(start);
        drive(start + 10_ms);
    }

    std::vector<Verdict> drive(Core::Instant now)
    {
        std::vector<Verdict> verdicts;
        handle(manager->tick(now), now, verdicts);
        handle(manager->flush(now), now, verdicts);
        return verdicts;
    }

    void handle(const std::vector<Allotment::Action> &actions, Core::Instant now,
                std::vector<Verdict> &verdicts)
    {
        for (const auto &action : actions) {
            if (const auto *decision = std::get_if<Allotment::Decision>(&action)) {
                if (const auto verdict = filter.decided(*decision, now))
                    verdicts.push_back(*verdict);
            }
            const auto *call = std::get_if<Allotment::CallPlatform>(&action);
            if (call == nullptr)
                continue;
            Platform::ReplyBody body = Platform::Missing{};
            if (const auto *put = std::get_if<Platform::Put>(&call->call.body))
                body = Platform::Objects{{{put->key, put->expected + 1, put->value}}, 0};
            handle(manager->platformReply({call->call.id, body}, now), now, verdicts);
        }
    }

    std::unique_ptr<Allotment::Manager> manager;
    AdmissionFilter filter;
};

} // namespace

TEST_GROUP(AdmissionFilter){};

TEST(AdmissionFilter, RefusesBeforeATokenIsSpent)
{
    const struct
    {
        const char *name;
        Core::TeamName team;
        Core::Duration deadline;
        Core::Duration wait;
        Engine::RefusalReason reason;
    } cases[] = {
        {"deadline passed", team, 0_ms, 0_ms, Engine::RefusalReason::DeadlinePassed},
        {"queue too long", team, 50_ms, 51_ms, Engine::RefusalReason::QueueFull},
        {"team without a limit", Core::TeamName("x"), 1_s, 0_ms,
         Engine::RefusalReason::RateExceeded},
    };
    for (const auto &one : cases) {
        Fixture fixture;
        const Core::Instant now = start + 20_ms;
        const Admission result =
            fixture.filter.admit(1, one.team, now + one.deadline, one.wait, now);
        const auto *refused = std::get_if<Refused>(&result);
        CHECK_TEXT(refused != nullptr, one.name);
        CHECK_TEXT(refused->reason == one.reason, one.name);
    }
}

TEST(AdmissionFilter, AdmitsTheBurstThenRefusesWithATruthfulTimeToComeBack)
{
    Fixture fixture;
    const Core::Instant now = start + 20_ms;
    std::size_t admitted = 0;
    Core::Duration retryAfter;
    for (Engine::RequestId request = 1; request <= 6; ++request) {
        const Admission result = fixture.filter.admit(request, team, now + 1_s, 0_ms, now);
        admitted += std::holds_alternative<Admitted>(result) ? 1 : 0;
        for (const Verdict &verdict : fixture.drive(now)) {
            if (const auto *refused = std::get_if<Refused>(&verdict.result))
                retryAfter = refused->retryAfter;
            else
                ++admitted;
        }
        if (const auto *refused = std::get_if<Refused>(&result))
            retryAfter = refused->retryAfter;
    }
    LONGS_EQUAL(burst, admitted);
    CHECK(retryAfter > 0_ms);
    const Core::Instant back = now + retryAfter;
    (void)fixture.drive(back - 10_ms);
    Admission again = fixture.filter.admit(7, team, back + 1_s, 0_ms, back);
    std::vector<Verdict> verdicts = fixture.drive(back);
    const bool isAdmitted = std::holds_alternative<Admitted>(again)
        || (!verdicts.empty() && std::holds_alternative<Admitted>(verdicts.front().result));
    CHECK(isAdmitted);
}

TEST(AdmissionFilter, ACancelledRequestGetsNoVerdict)
{
    Fixture fixture;
    const Core::Instant now = start + 20_ms;
    const Admission result = fixture.filter.admit(1, team, now + 1_s, 0_ms, now);
    CHECK(std::holds_alternative<Waiting>(result));
    CHECK(fixture.filter.cancel(1));
    CHECK(!fixture.filter.cancel(1));
    LONGS_EQUAL(0, fixture.drive(now).size());
}
