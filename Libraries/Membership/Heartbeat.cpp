#include <Membership/Heartbeat.h>

#include <algorithm>
#include <membership.pb.h>

namespace Chervilpin::Membership {

namespace {

namespace wire = chervilpin::membership;

/// Whether a text is visible ASCII only, as names and addresses go into logs and answers.
bool isPlain(const std::string &text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

void fill(wire::Update &encoded, const Update &update)
{
    encoded.set_name(update.name.value());
    encoded.set_incarnation(update.version.incarnation);
    encoded.set_refutation(update.version.refutation);
    encoded.set_health(static_cast<wire::Health>(update.health));
    encoded.set_is_leaving(update.isLeaving);
    encoded.set_data_centre(update.dataCentre.value());
    encoded.set_peer_address(update.peerAddress);
}

Core::ErrorOr<Update> read(const wire::Update &encoded)
{
    const bool isValid = !encoded.name().empty() && isPlain(encoded.name())
        && isPlain(encoded.data_centre()) && isPlain(encoded.peer_address())
        && encoded.incarnation() != 0 && wire::Health_IsValid(encoded.health());
    if (!isValid)
        return Core::failure(
            Core::ErrorCode::InvalidArgument,
            "membership update needs a name, visible ASCII texts, a non-zero incarnation and a "
            "known health");
    return Update{Core::NodeName(encoded.name()),
                  {encoded.incarnation(), encoded.refutation()},
                  static_cast<Health>(encoded.health()),
                  encoded.is_leaving(),
                  Core::DataCentreName(encoded.data_centre()),
                  encoded.peer_address()};
}

void fill(wire::Summary &encoded, const Summary &summary)
{
    encoded.set_data_centre(summary.dataCentre.value());
    encoded.set_aggregator(summary.aggregator.value());
    encoded.set_incarnation(summary.incarnation);
    encoded.set_sequence(summary.sequence);
    for (const RevisionCount &count : summary.counts) {
        auto *entry = encoded.add_counts();
        entry->set_revision(count.revision);
        entry->set_members(count.members);
    }
    for (const Laggard &laggard : summary.laggards) {
        auto *entry = encoded.add_laggards();
        entry->set_name(laggard.name.value());
        entry->set_revision(laggard.revision);
    }
}

Core::ErrorOr<Summary> read(const wire::Summary &encoded)
{
    const bool isValid = isPlain(encoded.data_centre()) && isPlain(encoded.aggregator())
        && std::ranges::all_of(encoded.laggards(),
                               [](const auto &laggard) { return isPlain(laggard.name()); });
    if (!isValid)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "configuration summary has a name that is not visible ASCII");
    Summary summary{Core::DataCentreName(encoded.data_centre()),
                    Core::NodeName(encoded.aggregator()),
                    encoded.incarnation(),
                    encoded.sequence(),
                    {},
                    {}};
    for (const auto &count : encoded.counts())
        summary.counts.push_back({count.revision(), count.members()});
    for (const auto &laggard : encoded.laggards())
        summary.laggards.push_back({Core::NodeName(laggard.name()), laggard.revision()});
    return summary;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    wire::Heartbeat encoded;
    fill(*encoded.mutable_sender(), heartbeat.sender);
    encoded.set_configuration_revision(heartbeat.status.configurationRevision);
    encoded.set_configuration_digest(heartbeat.status.configurationDigest);
    for (const Update &update : heartbeat.updates)
        fill(*encoded.add_updates(), update);
    for (const Summary &summary : heartbeat.summaries)
        fill(*encoded.add_summaries(), summary);
    encoded.set_asks_for_list(heartbeat.memberListRole == MemberListRole::Request);
    encoded.set_is_list_part(heartbeat.memberListRole == MemberListRole::Part);
    return encoded.SerializeAsString();
}

Core::ErrorOr<Heartbeat> decodeHeartbeat(std::string_view payload)
{
    wire::Heartbeat encoded;
    if (!encoded.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "heartbeat of " + std::to_string(payload.size())
                                 + " bytes is not valid protobuf");
    Heartbeat heartbeat;
    heartbeat.sender = TRY(read(encoded.sender()));
    heartbeat.status = {encoded.configuration_revision(), encoded.configuration_digest()};
    for (const auto &update : encoded.updates())
        heartbeat.updates.push_back(TRY(read(update)));
    for (const auto &summary : encoded.summaries())
        heartbeat.summaries.push_back(TRY(read(summary)));
    if (encoded.asks_for_list())
        heartbeat.memberListRole = MemberListRole::Request;
    if (encoded.is_list_part())
        heartbeat.memberListRole = MemberListRole::Part;
    return heartbeat;
}

} // namespace Chervilpin::Membership
