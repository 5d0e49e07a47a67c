#include <FleetWire/PeerMessageCodec.h>

#include <Tests/Fakes/LogMarks.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;

TEST_GROUP(PeerMessageCodec){};

TEST(PeerMessageCodec, HeartbeatsRoundTrip)
{
    Fleet::Heartbeat sent;
    sent.node = Core::NodeName("n");
    sent.incarnation = 5;
    sent.sentAt = Core::Instant(1234);
    sent.echoIncarnation = 6;
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
    report.replaces = 8;
    report.health = Fleet::Health::Suspect;
    report.mark = {4, 5};
    sent.primaries.push_back(report);
    sent.recordsSum = 0xfedcba9876543210;
    sent.wantsDetails = true;
    const auto decoded = FleetWire::decode(FleetWire::encode(sent));
    CHECK(decoded.has_value());
    const auto *read = std::get_if<Fleet::Heartbeat>(&*decoded);
    CHECK(read != nullptr);
    CHECK(read->recordsSum == sent.recordsSum && read->wantsDetails && !read->wantsReply);
    CHECK(read->sentAt == sent.sentAt && read->echoHeld == sent.echoHeld);
    CHECK(read->confirmedAge == sent.confirmedAge && read->isReceiverMember);
    const auto &primary = read->primaries.front();
    CHECK(primary.phase == Fleet::PrimaryPhase::Ordered && primary.adopted == 2);
    CHECK(primary.candidate == report.candidate && primary.replaces == 8);
    CHECK(primary.health == Fleet::Health::Suspect && primary.mark == Fakes::logMark(4, 5));
}

TEST(PeerMessageCodec, TokenRequestsAndGrantsRoundTrip)
{
    Rates::TokenRequest request{
        7, "10.0.0.1:9", Core::TeamName("t"), Rates::Role::Fallback, 3, 2, 0.75, 6};
    const auto decodedRequest = FleetWire::decode(FleetWire::encode(request));
    CHECK(decodedRequest.has_value());
    const auto *readRequest = std::get_if<Rates::TokenRequest>(&*decodedRequest);
    CHECK(readRequest != nullptr);
    CHECK(readRequest->id == 7 && readRequest->replyTo == request.replyTo
          && readRequest->team == request.team);
    CHECK(readRequest->role == Rates::Role::Fallback && readRequest->needed == 3
          && readRequest->prefetch == 2);
    DOUBLES_EQUAL(0.75, readRequest->baselinePerSecond, 0.001);
    LONGS_EQUAL(6, readRequest->returned);

    Rates::TokenGrant grant{
        7, Core::TeamName("t"), Core::NodeName("n"), false, 4, Core::Duration(250), 1.25};
    const auto decodedGrant = FleetWire::decode(FleetWire::encode(grant));
    CHECK(decodedGrant.has_value());
    const auto *readGrant = std::get_if<Rates::TokenGrant>(&*decodedGrant);
    CHECK(readGrant != nullptr);
    CHECK(readGrant->id == 7 && readGrant->team == grant.team && readGrant->from == grant.from);
    CHECK(!readGrant->isAccepted && readGrant->operations == 4);
    CHECK(readGrant->retryAfter == grant.retryAfter);
    DOUBLES_EQUAL(1.25, readGrant->baselinePerSecond, 0.001);
}

TEST(PeerMessageCodec, TokenRequestsWithoutTeamOrReplyAddressAreRejected)
{
    CHECK(!FleetWire::decode(FleetWire::encode(Rates::TokenRequest{1, "10.0.0.1:9", {}}))
               .has_value());
    CHECK(!FleetWire::decode(FleetWire::encode(Rates::TokenRequest{1, "", Core::TeamName("t")}))
               .has_value());
}

TEST(PeerMessageCodec, InvalidDatagramsAreRejected)
{
    CHECK(!FleetWire::decode("").has_value());
    CHECK(!FleetWire::decode("\xff\xff\xff garbage").has_value());
}
