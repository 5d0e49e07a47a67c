#include <FleetWire/PeerMessageCodec.h>

#include <cmath>
#include <fleet.pb.h>

namespace Chervilpin::FleetWire {

namespace {

namespace wire = chervilpin::fleet;

/// Rates are encoded in thousandths of an operation per second.
constexpr double rateScale = 1'000.0;

std::uint32_t toThousandths(double perSecond)
{
    return static_cast<std::uint32_t>(std::lround(perSecond * rateScale));
}

wire::Primary_Health toWire(Fleet::Health health)
{
    switch (health) {
    case Fleet::Health::Healthy:
        return wire::Primary::HEALTHY;
    case Fleet::Health::Suspect:
        return wire::Primary::SUSPECT;
    case Fleet::Health::Unknown:
        break;
    }
    return wire::Primary::UNKNOWN;
}

Fleet::Health fromWire(wire::Primary_Health health)
{
    if (health == wire::Primary::HEALTHY)
        return Fleet::Health::Healthy;
    return health == wire::Primary::SUSPECT ? Fleet::Health::Suspect : Fleet::Health::Unknown;
}

void write(const Fleet::PrimaryReport &report, wire::Primary &primary)
{
    primary.set_group(report.group.value());
    primary.set_revision(report.revision);
    primary.set_database(report.database.value());
    primary.set_is_active(report.phase == Fleet::PrimaryPhase::Active);
    primary.set_candidate(report.candidate.value());
    primary.set_replaces(report.replaces);
    primary.set_is_unverified(report.isUnverified);
    primary.set_term(report.term);
    primary.set_adopted(report.adopted);
    primary.set_health(toWire(report.health));
    primary.set_mark_term(report.mark.term);
    primary.set_mark_position(report.mark.position);
}

Fleet::PrimaryPhase readPhase(const wire::Primary &primary)
{
    if (primary.is_active())
        return Fleet::PrimaryPhase::Active;
    return primary.candidate().empty() ? Fleet::PrimaryPhase::Replacing
                                       : Fleet::PrimaryPhase::Ordered;
}

Fleet::PrimaryReport read(const wire::Primary &primary)
{
    Fleet::PrimaryReport report;
    report.group = Core::GroupName(primary.group());
    report.revision = primary.revision();
    report.database = Core::DatabaseName(primary.database());
    report.phase = readPhase(primary);
    report.candidate = Core::DatabaseName(primary.candidate());
    report.replaces = primary.replaces();
    report.isUnverified = primary.is_unverified();
    report.term = primary.term();
    report.adopted = primary.adopted();
    report.health = fromWire(primary.health());
    report.mark = {primary.mark_term(), primary.mark_position()};
    return report;
}

Core::ErrorOr<PeerMessage> read(const wire::Heartbeat &message)
{
    if (message.node().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "heartbeat has an empty node name");
    Fleet::Heartbeat heartbeat;
    heartbeat.node = Core::NodeName(message.node());
    heartbeat.incarnation = message.incarnation();
    heartbeat.sentAt = Core::Instant(static_cast<std::int64_t>(message.sent_at()));
    heartbeat.echoIncarnation = message.echo_incarnation();
    heartbeat.echoSentAt = Core::Instant(static_cast<std::int64_t>(message.echo_sent_at()));
    heartbeat.echoHeld = Core::Duration(message.echo_held_ms());
    if (message.has_confirmed_ms())
        heartbeat.confirmedAge = Core::Duration(message.confirmed_ms());
    heartbeat.isReceiverMember = message.is_receiver_member();
    heartbeat.configurationVersion = message.configuration_version();
    heartbeat.recordsSum = message.records_sum();
    heartbeat.wantsReply = message.wants_reply();
    heartbeat.wantsDetails = message.wants_details();
    heartbeat.newestRecord = message.newest_record();
    for (const auto &primary : message.primaries())
        heartbeat.primaries.push_back(read(primary));
    return heartbeat;
}

Core::ErrorOr<PeerMessage> read(const wire::RateAsk &message)
{
    if (message.team().empty() || message.reply_to().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "token request " + std::to_string(message.id())
                                 + " has no team or no reply address");
    Rates::TokenRequest request;
    request.id = message.id();
    request.replyTo = message.reply_to();
    request.team = Core::TeamName(message.team());
    request.role = message.is_to_stand_in() ? Rates::Role::ShareHolder : Rates::Role::Owner;
    request.needed = message.needed();
    request.prefetch = message.ahead();
    request.returned = message.returned();
    return request;
}

Core::ErrorOr<PeerMessage> read(const wire::RateGrant &message)
{
    Rates::TokenGrant grant;
    grant.id = message.id();
    grant.team = Core::TeamName(message.team());
    grant.from = Core::NodeName(message.from());
    grant.isAccepted = !message.is_refused();
    grant.operations = message.operations();
    grant.retryAfter = Core::Duration(message.retry_after_ms());
    return grant;
}

Core::ErrorOr<PeerMessage> read(const wire::ShareReport &message)
{
    const bool hasValidShare = message.held() >= 0 && message.held() <= 1;
    if (message.team().empty() || message.reply_to().empty() || message.holder().empty()
        || !hasValidShare)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "share report " + std::to_string(message.id())
                                 + " has no team, holder or reply address, or an invalid share");
    Rates::ShareReport report;
    report.id = message.id();
    report.replyTo = message.reply_to();
    report.team = Core::TeamName(message.team());
    report.holder = Core::NodeName(message.holder());
    report.incarnation = message.incarnation();
    report.held = message.held();
    report.demandPerSecond = message.demand_thousandths() / rateScale;
    report.isReturning = message.is_returning();
    return report;
}

Core::ErrorOr<PeerMessage> read(const wire::ShareLease &message)
{
    if (!(message.share() >= 0 && message.share() <= 1))
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "share lease " + std::to_string(message.id())
                                 + " has an invalid share");
    Rates::ShareLease lease;
    lease.id = message.id();
    lease.team = Core::TeamName(message.team());
    lease.lender = Core::NodeName(message.lender());
    lease.share = message.share();
    lease.duration = Core::Duration(message.duration_ms());
    return lease;
}

Core::ErrorOr<PeerMessage> read(const wire::ShareQuery &message)
{
    if (message.team().empty() || message.reply_to().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "share query has no team or no reply address");
    return Rates::ShareQuery{Core::TeamName(message.team()), message.reply_to()};
}

} // namespace

std::string encode(const Fleet::Heartbeat &heartbeat)
{
    wire::PeerMessage envelope;
    wire::Heartbeat &message = *envelope.mutable_heartbeat();
    message.set_node(heartbeat.node.value());
    message.set_incarnation(heartbeat.incarnation);
    message.set_sent_at(static_cast<std::uint64_t>(heartbeat.sentAt.millisecondsSinceOrigin()));
    message.set_echo_incarnation(heartbeat.echoIncarnation);
    message.set_echo_sent_at(
        static_cast<std::uint64_t>(heartbeat.echoSentAt.millisecondsSinceOrigin()));
    message.set_echo_held_ms(static_cast<std::uint32_t>(heartbeat.echoHeld.milliseconds()));
    if (heartbeat.confirmedAge)
        message.set_confirmed_ms(
            static_cast<std::uint32_t>(heartbeat.confirmedAge->milliseconds()));
    message.set_is_receiver_member(heartbeat.isReceiverMember);
    message.set_configuration_version(heartbeat.configurationVersion);
    message.set_wants_reply(heartbeat.wantsReply);
    message.set_wants_details(heartbeat.wantsDetails);
    message.set_newest_record(heartbeat.newestRecord);
    message.set_records_sum(heartbeat.recordsSum);
    for (const auto &report : heartbeat.primaries)
        write(report, *message.add_primaries());
    return envelope.SerializeAsString();
}

std::string encode(const Rates::TokenRequest &request)
{
    wire::PeerMessage envelope;
    wire::RateAsk &message = *envelope.mutable_rate_ask();
    message.set_id(request.id);
    message.set_reply_to(request.replyTo);
    message.set_team(request.team.value());
    message.set_is_to_stand_in(request.role == Rates::Role::ShareHolder);
    message.set_needed(request.needed);
    message.set_ahead(request.prefetch);
    message.set_returned(request.returned);
    return envelope.SerializeAsString();
}

std::string encode(const Rates::TokenGrant &grant)
{
    wire::PeerMessage envelope;
    wire::RateGrant &message = *envelope.mutable_rate_grant();
    message.set_id(grant.id);
    message.set_team(grant.team.value());
    message.set_from(grant.from.value());
    message.set_is_refused(!grant.isAccepted);
    message.set_operations(grant.operations);
    message.set_retry_after_ms(static_cast<std::uint32_t>(grant.retryAfter.milliseconds()));
    return envelope.SerializeAsString();
}

std::string encode(const Rates::ShareReport &report)
{
    wire::PeerMessage envelope;
    wire::ShareReport &message = *envelope.mutable_share_report();
    message.set_id(report.id);
    message.set_reply_to(report.replyTo);
    message.set_team(report.team.value());
    message.set_holder(report.holder.value());
    message.set_incarnation(report.incarnation);
    message.set_held(report.held);
    message.set_demand_thousandths(toThousandths(report.demandPerSecond));
    message.set_is_returning(report.isReturning);
    return envelope.SerializeAsString();
}

std::string encode(const Rates::ShareLease &lease)
{
    wire::PeerMessage envelope;
    wire::ShareLease &message = *envelope.mutable_share_lease();
    message.set_id(lease.id);
    message.set_team(lease.team.value());
    message.set_lender(lease.lender.value());
    message.set_share(lease.share);
    message.set_duration_ms(static_cast<std::uint32_t>(lease.duration.milliseconds()));
    return envelope.SerializeAsString();
}

std::string encode(const Rates::ShareQuery &query)
{
    wire::PeerMessage envelope;
    wire::ShareQuery &message = *envelope.mutable_share_query();
    message.set_team(query.team.value());
    message.set_reply_to(query.replyTo);
    return envelope.SerializeAsString();
}

Core::ErrorOr<PeerMessage> decode(std::string_view datagram)
{
    wire::PeerMessage envelope;
    const bool isParsed =
        envelope.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()));
    if (isParsed && envelope.has_heartbeat())
        return read(envelope.heartbeat());
    if (isParsed && envelope.has_rate_ask())
        return read(envelope.rate_ask());
    if (isParsed && envelope.has_rate_grant())
        return read(envelope.rate_grant());
    if (isParsed && envelope.has_share_report())
        return read(envelope.share_report());
    if (isParsed && envelope.has_share_lease())
        return read(envelope.share_lease());
    if (isParsed && envelope.has_share_query())
        return read(envelope.share_query());
    return Core::failure(Core::ErrorCode::InvalidArgument,
                         "datagram of " + std::to_string(datagram.size())
                             + " bytes is not a valid PeerMessage of a known type");
}

} // namespace Chervilpin::FleetWire
