#include <Tests/Failover/FakeFleet.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(Failover){};

TEST(Failover, EveryNodeLearnsTheFirstPrimaryAndOwner)
{
    FakeFleet fleet;
    fleet.run(1_s);
    for (std::size_t node = 0; node < 3; ++node) {
        LONGS_EQUAL(1, fleet.nodes[node].known.size());
        CHECK(fleet.nodes[node].known.back().database == FakeFleet::database(0));
        CHECK(fleet.nodes[node].known.back().owner == Core::HalfName("east"));
        CHECK(fleet.nodes[node].manager.view(FakeFleet::groupName())->reservedTerm.has_value());
        CHECK(fleet.serves(node));
    }
}

TEST(Failover, KilledPrimaryIsReplaced)
{
    FakeFleet fleet;
    fleet.run(1_s);
    CHECK(fleet.serves(1));
    fleet.hosts[FakeFleet::database(0)].isAlive = false;
    fleet.run(1_s);
    CHECK(fleet.serves(1));
    STRCMP_EQUAL("", fleet.broken.c_str());
}
