#include <Tests/Failover/GeneratedFaults.h>
#include <Tests/Ownership/HandoverFixture.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Ownership::Fakes;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(HandoverProperties){};

TEST(HandoverProperties, HandoversAndFaultsInAnyOrder)
{
    CHECK(holds("HandoversAndFaultsInAnyOrder", 60, Report::Printed, [] {
        HandoverFixture fixture;
        FakeFleet &fleet = fixture.fleet;
        Core::HalfName desired = east;
        for (const auto &[kind, which, span] : *generatedFaults()) {
            // About every fourth step is an operator's change of the desired owner.
            if (kind % 12 >= faultKinds) {
                desired = which % 2 == 0 ? west : east;
                fixture.setDesiredOwner(desired);
            } else {
                injectFault(fleet, kind % 12, which);
            }
            fleet.run(Core::Duration(static_cast<std::int64_t>(span) * 20));
            RC_ASSERT(fleet.violation == "");
            RC_ASSERT(fixture.hasOneOwnerPerTerm());
        }
        heal(fleet);
        fleet.run(20_s);
        RC_ASSERT(fleet.violation == "");
        RC_ASSERT(fixture.hasOneOwnerPerTerm());
        RC_ASSERT(fixture.isOwnedBy(desired));
        RC_ASSERT(fleet.now - fleet.lastAcknowledgedAt < 100_ms);
    }));
}
