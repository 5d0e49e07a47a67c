#include <Tests/Failover/GeneratedFaults.h>

#include <Failover/PromotionCoordinator.h>
#include <Tests/Failover/FakeDatabases.h>
#include <Tests/Failover/FakeFleet.h>

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Core::Literals;

namespace {

/// Three databases and several coordinators. Requests and answers may be reordered, duplicated or
/// lost.
struct Interleaving
{
    struct InFlight
    {
        std::size_t coordinator = 0;
        PromotionCoordinator::Request request;
        std::optional<Upstream::Answer> answer{}; ///< Set once the request was executed.
    };

    explicit Interleaving(std::size_t coordinatorCount, PromotionPolicy policy)
    {
        for (std::size_t index = 0; index < 3; ++index)
            databases.push_back({.name = FakeFleet::database(index)});
        databases[0].run(Upstream::Promote{1});
        for (auto &database : databases)
            database.run(Upstream::Follow{1, FakeFleet::database(0), {}});
        for (std::size_t index = 0; index < coordinatorCount; ++index)
            coordinators.push_back(
                *PromotionCoordinator::create({FakeFleet::group(), index + 2, {}}, policy, now));
    }

    /// Half of the kinds are steps of writers and replication, the others are of coordinators.
    static constexpr std::size_t kinds = 14;

    void step(std::size_t kind, std::size_t which)
    {
        const std::size_t coordinator = which % coordinators.size();
        FakeDatabase &database = databases[which % databases.size()];
        if (kind == 0)
            now = now + 600_ms;
        else if (kind <= 2)
            send(coordinator, coordinators[coordinator].tick(now = now + 50_ms));
        else if (kind <= 4)
            arrive(which);
        else if (kind <= 6)
            answer(which);
        else if (kind <= 9)
            pull(database);
        else if (kind <= 10)
            write(database);
        else
            observe(database);
        check();
    }

    void send(std::size_t coordinator, const PromotionCoordinator::Requests &requests)
    {
        for (const auto &request : requests)
            inFlight.push_back({coordinator, request});
    }

    void arrive(std::size_t which)
    {
        if (inFlight.empty())
            return;
        InFlight &message = inFlight[which % inFlight.size()];
        for (auto &database : databases)
            if (database.name == message.request.database)
                message.answer = database.take(message.request.body);
    }

    void answer(std::size_t which)
    {
        if (inFlight.empty())
            return;
        const InFlight message = inFlight[which % inFlight.size()];
        if (!message.answer)
            return;
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(which % inFlight.size()));
        send(message.coordinator,
             coordinators[message.coordinator].answered(
                 message.request.database, message.request.body, *message.answer, now));
    }

    void pull(FakeDatabase &replica)
    {
        for (const auto &primary : databases)
            if (primary.name == replica.primary)
                replica.pullFrom(primary, 1);
    }

    void write(FakeDatabase &database)
    {
        const std::uint64_t id = writes.size() + 1;
        const Upstream::Answer answer =
            database.run(Upstream::Statement{.term = database.knownTerm,
                                             .kind = Upstream::StatementKind::Write,
                                             .text = std::to_string(id)});
        if (answer.verdict == Upstream::Verdict::Done)
            writes.push_back({answer.status.held, id, {}});
    }

    void observe(const FakeDatabase &database)
    {
        for (auto &write : writes) {
            if (database.knownTerm == write.mark.term && database.held().term == write.mark.term
                && database.held().position >= write.mark.position)
                write.seenAt.insert(database.name);
        }
    }

    void check()
    {
        for (const auto &database : databases) {
            if (!database.isPrimaryIn(database.knownTerm))
                continue;
            const auto known = primaries.emplace(database.knownTerm, database.name).first;
            isViolated = isViolated || known->second != database.name;
            for (const auto &write : writes)
                isViolated = isViolated
                    || (write.seenAt.size() >= 2 && write.mark.term < database.knownTerm
                        && !database.holds(write.mark, write.id));
        }
    }

    struct Write
    {
        Core::LogMark mark;
        std::uint64_t id = 0;
        std::set<Core::DatabaseName> seenAt;
    };

    Core::Instant now{0};
    std::vector<FakeDatabase> databases;
    std::vector<PromotionCoordinator> coordinators;
    std::vector<InFlight> inFlight;
    std::vector<Write> writes;
    std::map<Core::Term, Core::DatabaseName> primaries;
    bool isViolated = false;
};

/// Whether the invariants hold in all generated interleavings.
bool anyOrderIsSafe(const std::string &name, PromotionPolicy policy, int cases, Report report)
{
    return holds(name, cases, report, [policy] {
        const auto coordinatorCount = *rc::gen::inRange<std::size_t>(2, 4);
        Interleaving run(coordinatorCount, policy);
        const auto steps = *rc::gen::resize(
            400,
            rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, Interleaving::kinds),
                              rc::gen::inRange<std::size_t>(0, 60))));
        for (const auto &[kind, which] : steps) {
            run.step(kind, which);
            RC_ASSERT(!run.isViolated);
        }
    });
}

} // namespace

TEST_GROUP(PromotionProperties){};

TEST(PromotionProperties, CoordinatorsInAnyOrder)
{
    CHECK(anyOrderIsSafe("CoordinatorsInAnyOrder", {}, 3000, Report::Printed));
}

TEST(PromotionProperties, EachDisabledGuardViolatesAnInvariant)
{
    for (const auto guard :
         {&PromotionPolicy::requireFencedMajority, &PromotionPolicy::chooseHighestMark,
          &PromotionPolicy::oneChoicePerTerm}) {
        PromotionPolicy unguarded;
        unguarded.*guard = Guard::Off;
        CHECK(!anyOrderIsSafe("unguarded", unguarded, 3000, Report::Silent));
    }
}

TEST(PromotionProperties, FleetUnderFaults)
{
    CHECK(holds("FleetUnderFaults", 60, Report::Printed, [] {
        FakeFleet fleet;
        fleet.run(500_ms);
        fleet.writingNodes = {0, 1, 2};
        for (const auto &[kind, which, span] : *generatedFaults()) {
            injectFault(fleet, kind % faultKinds, which);
            fleet.run(Core::Duration(static_cast<std::int64_t>(span) * 20));
            RC_ASSERT(fleet.violation == "");
        }
        heal(fleet);
        fleet.run(15_s);
        RC_ASSERT(fleet.violation == "");
        RC_ASSERT(fleet.now - fleet.lastAcknowledgedAt < 100_ms);
    }));
}
