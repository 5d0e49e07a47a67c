#include <Failover/PeerMessages.h>

#include <algorithm>
#include <failover.pb.h>

namespace Chervilpin::Failover {

namespace Wire = chervilpin::failover;

namespace {

/// Upper bound on the drain time taken from a notice, so that no peer can block writes for longer.
constexpr Core::Duration maximumDrain{2000};

struct Encoder
{
    Wire::Message &message;

    void operator()(const PeerQuery &query) const
    {
        auto *wire = message.mutable_peer_query();
        wire->set_group(query.group.value());
        wire->set_database(query.database.value());
        wire->set_query_id(query.queryId);
    }

    void operator()(const PeerVerdict &verdict) const
    {
        auto *wire = message.mutable_peer_verdict();
        wire->set_group(verdict.group.value());
        wire->set_database(verdict.database.value());
        wire->set_query_id(verdict.queryId);
        wire->set_health(static_cast<Wire::Health>(verdict.health));
        wire->set_data_centre(verdict.dataCentre.value());
    }

    void operator()(const GroupState &state) const
    {
        auto *wire = message.mutable_group_state();
        wire->set_group(state.group.value());
        wire->set_term(state.term);
        wire->set_primary(state.primary.value());
        wire->set_owner(state.owner.value());
    }

    void operator()(const GroupStateQuery &query) const
    {
        message.mutable_group_state_query()->set_group(query.group.value());
    }

    void operator()(const DrainingNotice &notice) const
    {
        auto *wire = message.mutable_group_draining();
        wire->set_group(notice.group.value());
        wire->set_term(notice.term);
        wire->set_remaining_ms(static_cast<std::uint32_t>(notice.remaining.milliseconds()));
    }
};

Core::ErrorOr<PeerMessage> toVerdict(const Wire::PeerVerdict &wire)
{
    if (!Wire::Health_IsValid(wire.health()))
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "unknown health value in a peer verdict");
    return PeerVerdict{.group = Core::GroupName(wire.group()),
                       .database = Core::DatabaseName(wire.database()),
                       .queryId = wire.query_id(),
                       .health = static_cast<Health>(wire.health()),
                       .dataCentre = Core::DataCentreName(wire.data_centre())};
}

Core::ErrorOr<PeerMessage> toGroupState(const Wire::GroupState &wire)
{
    if (wire.term() == 0 || wire.primary().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "group state without a term or a primary");
    return GroupState{.group = Core::GroupName(wire.group()),
                      .term = wire.term(),
                      .primary = Core::DatabaseName(wire.primary()),
                      .owner = Core::HalfName(wire.owner())};
}

PeerMessage toDrainingNotice(const Wire::GroupDraining &wire)
{
    const Core::Duration remaining(wire.remaining_ms());
    return DrainingNotice{.group = Core::GroupName(wire.group()),
                          .term = wire.term(),
                          .remaining = std::min(remaining, maximumDrain)};
}

} // namespace

std::string encode(const PeerMessage &message)
{
    Wire::Message wire;
    std::visit(Encoder{wire}, message);
    return wire.SerializeAsString();
}

Core::ErrorOr<PeerMessage> decode(std::string_view payload)
{
    Wire::Message wire;
    if (!wire.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "failover message is not a valid protobuf message");
    switch (wire.body_case()) {
    case Wire::Message::kPeerQuery:
        return PeerQuery{.group = Core::GroupName(wire.peer_query().group()),
                         .database = Core::DatabaseName(wire.peer_query().database()),
                         .queryId = wire.peer_query().query_id()};
    case Wire::Message::kPeerVerdict:
        return toVerdict(wire.peer_verdict());
    case Wire::Message::kGroupState:
        return toGroupState(wire.group_state());
    case Wire::Message::kGroupStateQuery:
        return GroupStateQuery{Core::GroupName(wire.group_state_query().group())};
    case Wire::Message::kGroupDraining:
        return toDrainingNotice(wire.group_draining());
    case Wire::Message::BODY_NOT_SET:
        break;
    }
    return Core::failure(Core::ErrorCode::InvalidArgument, "failover message has no body");
}

} // namespace Chervilpin::Failover
