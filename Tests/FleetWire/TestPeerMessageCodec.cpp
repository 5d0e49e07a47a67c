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
        7, "10.0.0.1:9", Core::TeamName("t"), Rates::Role::ShareHolder, 3, 2, 6};
    const auto decodedRequest = FleetWire::decode(FleetWire::encode(request));
    CHECK(decodedRequest.has_value());
    const auto *readRequest = std::get_if<Rates::TokenRequest>(&*decodedRequest);
    CHECK(readRequest != nullptr);
    CHECK(readRequest->id == 7 && readRequest->replyTo == request.replyTo
          && readRequest->team == request.team);
    CHECK(readRequest->role == Rates::Role::ShareHolder && readRequest->needed == 3
          && readRequest->prefetch == 2);
    LONGS_EQUAL(6, readRequest->returned);

    Rates::TokenGrant grant{7, Core::TeamName("t"), Core::NodeName("n"), false,
                            4, Core::Duration(250)};
    const auto decodedGrant = FleetWire::decode(FleetWire::encode(grant));
    CHECK(decodedGrant.has_value());
    const auto *readGrant = std::get_if<Rates::TokenGrant>(&*decodedGrant);
    CHECK(readGrant != nullptr);
    CHECK(readGrant->id == 7 && readGrant->team == grant.team && readGrant->from == grant.from);
    CHECK(!readGrant->isAccepted && readGrant->operations == 4);
    CHECK(readGrant->retryAfter == grant.retryAfter);
}

TEST(PeerMessageCodec, ShareMessagesRoundTrip)
{
    const Rates::ShareReport report{
        7, "10.0.0.1:9", Core::TeamName("t"), Core::NodeName("n"), 11, 0.25, 1.5, true};
    const auto decodedReport = FleetWire::decode(FleetWire::encode(report));
    CHECK(decodedReport.has_value());
    const auto &readReport = std::get<Rates::ShareReport>(*decodedReport);
    CHECK(readReport.id == 7 && readReport.replyTo == report.replyTo);
    CHECK(readReport.team == report.team && readReport.holder == report.holder);
    CHECK(readReport.incarnation == 11 && readReport.isReturning);
    DOUBLES_EQUAL(0.25, readReport.held, 0);
    DOUBLES_EQUAL(1.5, readReport.demandPerSecond, 0.001);

    const Rates::ShareLease lease{7, Core::TeamName("t"), Core::NodeName("n"), 0.4,
                                  Core::Duration(15'000)};
    const auto decodedLease = FleetWire::decode(FleetWire::encode(lease));
    CHECK(decodedLease.has_value());
    const auto &readLease = std::get<Rates::ShareLease>(*decodedLease);
    CHECK(readLease.id == 7 && readLease.team == lease.team && readLease.lender == lease.lender);
    CHECK(readLease.duration == lease.duration);
    DOUBLES_EQUAL(0.4, readLease.share, 0);

    const Rates::ShareQuery query{Core::TeamName("t"), "10.0.0.1:9"};
    const auto decodedQuery = FleetWire::decode(FleetWire::encode(query));
    CHECK(decodedQuery.has_value());
    const auto &readQuery = std::get<Rates::ShareQuery>(*decodedQuery);
    CHECK(readQuery.team == query.team && readQuery.replyTo == query.replyTo);
}

/// A share that is no fraction would let a holder spend more than the team's limit.
TEST(PeerMessageCodec, SharesBeyondTheLimitAreRejected)
{
    for (const double share : {-0.1, 1.1, std::numeric_limits<double>::quiet_NaN()}) {
        Rates::ShareReport report{7,  "10.0.0.1:9", Core::TeamName("t"), Core::NodeName("n"),
                                  11, share};
        CHECK(!FleetWire::decode(FleetWire::encode(report)).has_value());
        Rates::ShareLease lease{7, Core::TeamName("t"), Core::NodeName("n"), share, {}};
        CHECK(!FleetWire::decode(FleetWire::encode(lease)).has_value());
    }
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
