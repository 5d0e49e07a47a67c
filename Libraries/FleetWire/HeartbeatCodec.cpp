#include <FleetWire/HeartbeatCodec.h>

#include <cmath>
#include <fleet.pb.h>
#include <set>

namespace Chervilpin::FleetWire {

namespace {

namespace wire = chervilpin::fleet;

/// Demand is told in tenths of an operation per second.
constexpr double demandScale = 10.0;
/// Shares are told in ten-thousandths.
constexpr double shareScale = 10'000.0;

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
    report.adopted = primary.adopted();
    report.health = fromWire(primary.health());
    report.mark = {primary.mark_term(), primary.mark_position()};
    return report;
}

std::uint32_t scaled(const std::map<Core::TeamName, double> &values, const Core::TeamName &team,
                     double scale)
{
    const auto value = values.find(team);
    return value == values.end() ? 0
                                 : static_cast<std::uint32_t>(std::lround(value->second * scale));
}

void writeTeams(const Fleet::Heartbeat &heartbeat, wire::Heartbeat &message)
{
    std::set<Core::TeamName> teams;
    for (const auto &[team, demand] : heartbeat.demand)
        teams.insert(team);
    for (const auto &[team, share] : heartbeat.shares)
        teams.insert(team);
    for (const auto &team : teams) {
        auto &entry = *message.add_teams();
        entry.set_team(team.value());
        entry.set_tenths_per_second(scaled(heartbeat.demand, team, demandScale));
        entry.set_share_per_10000(scaled(heartbeat.shares, team, shareScale));
    }
}

} // namespace

std::string encode(const Fleet::Heartbeat &heartbeat)
{
    wire::Heartbeat message;
    message.set_node(heartbeat.node.value());
    message.set_boot(heartbeat.boot);
    message.set_sent_at(static_cast<std::uint64_t>(heartbeat.sentAt.millisecondsSinceOrigin()));
    message.set_echo_boot(heartbeat.echoBoot);
    message.set_echo_sent_at(
        static_cast<std::uint64_t>(heartbeat.echoSentAt.millisecondsSinceOrigin()));
    message.set_echo_held_ms(static_cast<std::uint32_t>(heartbeat.echoHeld.milliseconds()));
    if (heartbeat.confirmedAge)
        message.set_confirmed_ms(
            static_cast<std::uint32_t>(heartbeat.confirmedAge->milliseconds()));
    message.set_is_receiver_member(heartbeat.isReceiverMember);
    message.set_configuration_version(heartbeat.configurationVersion);
    message.set_wants_reply(heartbeat.wantsReply);
    for (const auto &report : heartbeat.primaries)
        write(report, *message.add_primaries());
    writeTeams(heartbeat, message);
    return message.SerializeAsString();
}

Core::ErrorOr<Fleet::Heartbeat> decode(std::string_view datagram)
{
    wire::Heartbeat message;
    if (!message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))
        || message.node().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "the datagram is no heartbeat");
    Fleet::Heartbeat heartbeat;
    heartbeat.node = Core::NodeName(message.node());
    heartbeat.boot = message.boot();
    heartbeat.sentAt = Core::Instant(static_cast<std::int64_t>(message.sent_at()));
    heartbeat.echoBoot = message.echo_boot();
    heartbeat.echoSentAt = Core::Instant(static_cast<std::int64_t>(message.echo_sent_at()));
    heartbeat.echoHeld = Core::Duration(message.echo_held_ms());
    if (message.has_confirmed_ms())
        heartbeat.confirmedAge = Core::Duration(message.confirmed_ms());
    heartbeat.isReceiverMember = message.is_receiver_member();
    heartbeat.configurationVersion = message.configuration_version();
    heartbeat.wantsReply = message.wants_reply();
    for (const auto &primary : message.primaries())
        heartbeat.primaries.push_back(read(primary));
    for (const auto &entry : message.teams()) {
        const Core::TeamName team(entry.team());
        if (entry.tenths_per_second() > 0)
            heartbeat.demand[team] = entry.tenths_per_second() / demandScale;
        if (entry.share_per_10000() > 0)
            heartbeat.shares[team] = entry.share_per_10000() / shareScale;
    }
    return heartbeat;
}

} // namespace Chervilpin::FleetWire
