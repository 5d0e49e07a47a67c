#include <Tests/Configuration/Fleet.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Configuration;
using namespace Chervilpin::Testing;

namespace {

constexpr std::uint64_t seed = 7;

} // namespace

TEST_GROUP(Manager)
{
    Fleet fleet{seed};

    void startThree()
    {
        for (const char *name : {"a", "b", "c"})
            fleet.add(name);
        fleet.run(Core::Duration(2'000));
    }

    ProposalOutcome outcome(ProposalId id)
    {
        const ProposalAnswer *answer = fleet.answer(id);
        CHECK(answer != nullptr);
        return answer == nullptr ? ProposalOutcome::Unavailable : answer->outcome;
    }
};

TEST(Manager, AnAcceptedChangeIsInForceEverywhere)
{
    startThree();
    fleet.propose("a", putTeam(1, "brokers", 10));
    fleet.run(Core::Duration(1'000));
    CHECK(outcome(1) == ProposalOutcome::Accepted);
    CHECK(fleet.allAt(1));
    CHECK(fleet.node("c").snapshot()->findTeam(Core::TeamName("brokers")) != nullptr);
}

TEST(Manager, NothingIsAcceptedBeforeTheLogHoldsIt)
{
    startThree();
    fleet.propose("a", putTeam(1, "brokers", 10));
    CHECK(fleet.answer(1) == nullptr);
    CHECK(fleet.allAt(0));
}
