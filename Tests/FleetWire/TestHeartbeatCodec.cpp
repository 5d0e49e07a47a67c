#include <FleetWire/HeartbeatCodec.h>

#include <Tests/Fakes/LogMarks.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;

TEST_GROUP(HeartbeatCodec){};

TEST(HeartbeatCodec, AHeartbeatIsReadAsItWasWritten)
{
    Fleet::Heartbeat sent;
    sent.node = Core::NodeName("n");
    sent.boot = 5;
    sent.sentAt = Core::Instant(1234);
    sent.echoBoot = 6;
    sent.echoSentAt = Core::Instant(77);
    sent.echoHeld = Core::Duration(8);
    sent.confirmedAge = Core::Duration(9);
    sent.isReceiverMember = true;
    Fleet::PrimaryReport report;
    report.group = Core::GroupName("g");
    report.revision = 3;
    report.phase = Fleet::PrimaryPhase::Ordered;
    report.candidate = Core::DatabaseName("c");
    report.adopted = 2;
    report.health = Fleet::Health::Suspect;
    report.mark = {4, 5};
    sent.primaries.push_back(report);
    sent.demand[Core::TeamName("t")] = 12.3;
    sent.shares[Core::TeamName("u")] = 0.25;
    const auto read = FleetWire::decode(FleetWire::encode(sent));
    CHECK(read.has_value());
    CHECK(read->sentAt == sent.sentAt && read->echoHeld == sent.echoHeld);
    CHECK(read->confirmedAge == sent.confirmedAge && read->isReceiverMember);
    const auto &primary = read->primaries.front();
    CHECK(primary.phase == Fleet::PrimaryPhase::Ordered && primary.adopted == 2);
    CHECK(primary.candidate == report.candidate);
    CHECK(primary.health == Fleet::Health::Suspect && primary.mark == Fakes::logMark(4, 5));
    DOUBLES_EQUAL(0.25, read->shares.at(Core::TeamName("u")), 0.001);
    DOUBLES_EQUAL(12.3, read->demand.at(Core::TeamName("t")), 0.05);
}

TEST(HeartbeatCodec, OtherDatagramsAreRefused)
{
    CHECK(!FleetWire::decode("").has_value());
    CHECK(!FleetWire::decode("\xff\xff\xff garbage").has_value());
}
