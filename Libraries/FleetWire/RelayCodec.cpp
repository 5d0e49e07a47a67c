#include <FleetWire/RelayCodec.h>

#include <relay.pb.h>

namespace Chervilpin::FleetWire {

namespace {

namespace wire = chervilpin::fleet;
using Core::ErrorCode;
using Core::failure;
using Fleet::ObjectKind;
using Fleet::RelayOutcome;

wire::RelayQuestion_Kind toWire(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Directory:
        return wire::RelayQuestion::DIRECTORY;
    case ObjectKind::Configuration:
        return wire::RelayQuestion::CONFIGURATION;
    case ObjectKind::Evacuations:
        return wire::RelayQuestion::EVACUATIONS;
    case ObjectKind::Records:
        break;
    }
    return wire::RelayQuestion::RECORDS;
}

Core::ErrorOr<ObjectKind> fromWire(wire::RelayQuestion_Kind kind)
{
    switch (kind) {
    case wire::RelayQuestion::DIRECTORY:
        return ObjectKind::Directory;
    case wire::RelayQuestion::CONFIGURATION:
        return ObjectKind::Configuration;
    case wire::RelayQuestion::RECORDS:
        return ObjectKind::Records;
    case wire::RelayQuestion::EVACUATIONS:
        return ObjectKind::Evacuations;
    default:
        return failure(ErrorCode::InvalidArgument,
                       "relay request has unknown object kind "
                           + std::to_string(static_cast<int>(kind)));
    }
}

wire::RelayAnswer_Outcome toWire(RelayOutcome outcome)
{
    switch (outcome) {
    case RelayOutcome::Page:
        return wire::RelayAnswer::PAGE;
    case RelayOutcome::HistoryGone:
        return wire::RelayAnswer::HISTORY_GONE;
    case RelayOutcome::StoreLost:
        return wire::RelayAnswer::STORE_LOST;
    case RelayOutcome::NotAFeed:
        break;
    }
    return wire::RelayAnswer::NOT_A_FEED;
}

RelayOutcome fromWire(wire::RelayAnswer_Outcome outcome)
{
    switch (outcome) {
    case wire::RelayAnswer::PAGE:
        return RelayOutcome::Page;
    case wire::RelayAnswer::HISTORY_GONE:
        return RelayOutcome::HistoryGone;
    case wire::RelayAnswer::STORE_LOST:
        return RelayOutcome::StoreLost;
    default:
        return RelayOutcome::NotAFeed;
    }
}

void write(const Fleet::TextDelta &delta, wire::TextDelta &message)
{
    message.set_base_hash(delta.baseHash);
    message.set_result_hash(delta.resultHash);
    for (const auto &piece : delta.pieces) {
        wire::TextDelta_Piece &written = *message.add_pieces();
        written.set_offset(static_cast<std::uint32_t>(piece.offset));
        written.set_length(static_cast<std::uint32_t>(piece.length));
        written.set_literal(piece.literal);
    }
}

Fleet::TextDelta read(const wire::TextDelta &message)
{
    Fleet::TextDelta delta;
    delta.baseHash = message.base_hash();
    delta.resultHash = message.result_hash();
    for (const auto &piece : message.pieces())
        delta.pieces.push_back({piece.offset(), piece.length(), piece.literal()});
    return delta;
}

template<typename Message>
bool parse(Message &message, std::string_view body)
{
    return message.ParseFromArray(body.data(), static_cast<int>(body.size()));
}

} // namespace

std::string encode(const Fleet::RelayQuestion &question)
{
    wire::RelayQuestion message;
    message.set_kind(toWire(question.kind));
    message.set_is_watch(question.form == Fleet::RelayQuestion::Form::Watch);
    message.set_since(question.since);
    message.set_wait_ms(static_cast<std::uint32_t>(question.wait.milliseconds()));
    message.set_accepts_deltas(question.acceptsDeltas);
    return message.SerializeAsString();
}

std::string encode(const Fleet::RelayAnswer &answer)
{
    wire::RelayAnswer message;
    message.set_outcome(toWire(answer.outcome));
    message.set_revision(answer.revision);
    message.set_confirmed_ms(static_cast<std::int32_t>(answer.confirmed.milliseconds()));
    for (const auto &object : answer.objects) {
        wire::RelayedObject &relayed = *message.add_objects();
        relayed.set_key(object.key);
        relayed.set_revision(object.revision);
        relayed.set_text(object.text);
        relayed.set_is_deleted(object.isDeleted);
        if (object.delta)
            write(*object.delta, *relayed.mutable_delta());
    }
    return message.SerializeAsString();
}

Core::ErrorOr<Fleet::RelayQuestion> decodeRelayQuestion(std::string_view body)
{
    wire::RelayQuestion message;
    if (!parse(message, body))
        return failure(ErrorCode::InvalidArgument,
                       "relay request of " + std::to_string(body.size())
                           + " bytes is not a valid RelayQuestion");
    Fleet::RelayQuestion question;
    question.kind = TRY(fromWire(message.kind()));
    question.form =
        message.is_watch() ? Fleet::RelayQuestion::Form::Watch : Fleet::RelayQuestion::Form::List;
    question.since = message.since();
    question.wait = Core::Duration(message.wait_ms());
    question.acceptsDeltas = message.accepts_deltas();
    return question;
}

Core::ErrorOr<Fleet::RelayAnswer> decodeRelayAnswer(std::string_view body)
{
    wire::RelayAnswer message;
    if (!parse(message, body))
        return failure(ErrorCode::InvalidArgument,
                       "relay response of " + std::to_string(body.size())
                           + " bytes is not a valid RelayAnswer");
    Fleet::RelayAnswer answer;
    answer.outcome = fromWire(message.outcome());
    answer.revision = message.revision();
    answer.confirmed = Core::Duration(message.confirmed_ms());
    for (const auto &relayed : message.objects()) {
        Fleet::RelayedObject object{
            {relayed.key(), relayed.text(), relayed.revision(), relayed.is_deleted()}, nullptr};
        if (relayed.has_delta())
            object.delta = std::make_shared<const Fleet::TextDelta>(read(relayed.delta()));
        answer.objects.push_back(std::move(object));
    }
    return answer;
}

} // namespace Chervilpin::FleetWire
