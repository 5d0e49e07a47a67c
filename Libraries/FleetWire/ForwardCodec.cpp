#include <FleetWire/ForwardCodec.h>

#include <algorithm>
#include <forward.pb.h>

namespace Chervilpin::FleetWire {

namespace {

namespace wire = chervilpin::fleet;
using Sessions::ForwardedProgress;
using Sessions::StatementKind;
using Sessions::TransactionState;

std::uint32_t toMilliseconds(Core::Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, duration.milliseconds()));
}

wire::ForwardedStatement_Kind toWire(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Read:
        return wire::ForwardedStatement::READ;
    case StatementKind::Write:
        return wire::ForwardedStatement::WRITE;
    case StatementKind::Execute:
        return wire::ForwardedStatement::EXECUTE;
    case StatementKind::Commit:
        return wire::ForwardedStatement::COMMIT;
    default:
        // Statements of other kinds are not forwarded: the proxy that has the caller's session
        // handles them.
        return wire::ForwardedStatement::UNKNOWN;
    }
}

std::optional<StatementKind> fromWire(wire::ForwardedStatement_Kind kind)
{
    switch (kind) {
    case wire::ForwardedStatement::READ:
        return StatementKind::Read;
    case wire::ForwardedStatement::WRITE:
        return StatementKind::Write;
    case wire::ForwardedStatement::EXECUTE:
        return StatementKind::Execute;
    case wire::ForwardedStatement::COMMIT:
        return StatementKind::Commit;
    default:
        return {};
    }
}

wire::ForwardedStatement_Begin toWire(const std::optional<StatementKind> &begin)
{
    if (!begin)
        return wire::ForwardedStatement::NONE;
    return *begin == StatementKind::BeginRead ? wire::ForwardedStatement::READ_ONLY
                                              : wire::ForwardedStatement::READ_WRITE;
}

std::optional<StatementKind> fromWire(wire::ForwardedStatement_Begin begin)
{
    if (begin == wire::ForwardedStatement::READ_WRITE)
        return StatementKind::Begin;
    if (begin == wire::ForwardedStatement::READ_ONLY)
        return StatementKind::BeginRead;
    return {};
}

wire::ForwardedReply_Progress toWire(ForwardedProgress progress)
{
    switch (progress) {
    case ForwardedProgress::Stopping:
        return wire::ForwardedReply::STOPPING;
    case ForwardedProgress::NotAccepted:
        return wire::ForwardedReply::NOT_ACCEPTED;
    case ForwardedProgress::NotSent:
        return wire::ForwardedReply::NOT_SENT;
    case ForwardedProgress::Sent:
        break;
    }
    return wire::ForwardedReply::SENT;
}

ForwardedProgress fromWire(wire::ForwardedReply_Progress progress)
{
    switch (progress) {
    case wire::ForwardedReply::STOPPING:
        return ForwardedProgress::Stopping;
    case wire::ForwardedReply::NOT_ACCEPTED:
        return ForwardedProgress::NotAccepted;
    case wire::ForwardedReply::NOT_SENT:
        return ForwardedProgress::NotSent;
    default:
        return ForwardedProgress::Sent;
    }
}

wire::ForwardedReply_State toWire(TransactionState state)
{
    if (state == TransactionState::Open)
        return wire::ForwardedReply::OPEN;
    return state == TransactionState::Failed ? wire::ForwardedReply::FAILED
                                             : wire::ForwardedReply::IDLE;
}

TransactionState fromWire(wire::ForwardedReply_State state)
{
    if (state == wire::ForwardedReply::OPEN)
        return TransactionState::Open;
    return state == wire::ForwardedReply::FAILED ? TransactionState::Failed
                                                 : TransactionState::None;
}

Core::ErrorOr<Frame> read(const wire::ForwardedStatement &message)
{
    StatementFrame frame;
    frame.channel = message.channel();
    Sessions::ForwardedStatement &statement = frame.statement;
    const auto kind = fromWire(message.kind());
    if (!kind || message.group().empty() || message.database().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "forwarded statement has no group, no database or unknown kind "
                                 + std::to_string(static_cast<int>(message.kind())));
    statement.group = Core::GroupName(message.group());
    statement.database = Core::DatabaseName(message.database());
    statement.team = Core::TeamName(message.team());
    statement.route = Core::RouteName(message.route());
    statement.priority = message.priority();
    statement.statementTimeout = Core::Duration(message.timeout_ms());
    statement.queueTimeout = Core::Duration(message.patience_ms());
    statement.isPrimaryNeeded = message.is_primary_needed();
    if (message.has_mark_term())
        statement.atLeast = Core::LogMark{message.mark_term(), message.mark_position()};
    statement.begin = fromWire(message.begin());
    for (const auto &value : message.values())
        statement.values[value.name()] = value.value();
    if (message.has_shape()) {
        const auto access =
            message.shape().is_write() ? Sessions::Access::Write : Sessions::Access::Read;
        statement.shape = Sessions::PreparedShape{access, message.shape().shape()};
    }
    statement.statement.id = message.id();
    statement.statement.kind = *kind;
    statement.statement.name = message.name();
    statement.statement.arguments = message.arguments();
    return frame;
}

Core::ErrorOr<Frame> read(const wire::ForwardedReply &message)
{
    ReplyFrame frame;
    frame.channel = message.channel();
    frame.answer.progress = fromWire(message.progress());
    Sessions::DatabaseReply &reply = frame.answer.reply;
    reply.body = message.body();
    // Codes start at 1, since 0 stands for no failure.
    constexpr auto maximumFailureCode = static_cast<std::uint32_t>(Sessions::Failure::Other) + 1;
    if (message.failure() > maximumFailureCode)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "forwarded reply has unknown failure code "
                                 + std::to_string(message.failure()));
    if (message.failure() > 0)
        reply.failure = static_cast<Sessions::Failure>(message.failure() - 1);
    reply.failureText = message.failure_text();
    reply.state = fromWire(message.state());
    if (message.has_mark_term())
        reply.mark = Core::LogMark{message.mark_term(), message.mark_position()};
    if (message.has_wait_ms())
        frame.answer.load = {Core::Duration(message.wait_ms()),
                             Core::Duration(message.service_ms())};
    return frame;
}

} // namespace

std::string encode(const StatementFrame &frame)
{
    const Sessions::ForwardedStatement &statement = frame.statement;
    wire::ForwardFrame envelope;
    wire::ForwardedStatement &message = *envelope.mutable_statement();
    message.set_channel(frame.channel);
    message.set_group(statement.group.value());
    message.set_database(statement.database.value());
    message.set_team(statement.team.value());
    message.set_route(statement.route.value());
    message.set_priority(statement.priority);
    message.set_timeout_ms(toMilliseconds(statement.statementTimeout));
    message.set_patience_ms(toMilliseconds(statement.queueTimeout));
    message.set_is_primary_needed(statement.isPrimaryNeeded);
    if (statement.atLeast) {
        message.set_mark_term(statement.atLeast->term);
        message.set_mark_position(statement.atLeast->position);
    }
    message.set_begin(toWire(statement.begin));
    for (const auto &[name, value] : statement.values) {
        wire::SessionValue &added = *message.add_values();
        added.set_name(name);
        added.set_value(value);
    }
    if (statement.shape) {
        message.mutable_shape()->set_is_write(statement.shape->access == Sessions::Access::Write);
        message.mutable_shape()->set_shape(statement.shape->shape);
    }
    message.set_kind(toWire(statement.statement.kind));
    message.set_id(statement.statement.id);
    message.set_name(statement.statement.name);
    message.set_arguments(statement.statement.arguments);
    return envelope.SerializeAsString();
}

std::string encode(const ReplyFrame &frame)
{
    const Sessions::DatabaseReply &reply = frame.answer.reply;
    wire::ForwardFrame envelope;
    wire::ForwardedReply &message = *envelope.mutable_reply();
    message.set_channel(frame.channel);
    message.set_progress(toWire(frame.answer.progress));
    message.set_body(reply.body);
    if (reply.failure)
        message.set_failure(static_cast<std::uint32_t>(*reply.failure) + 1);
    message.set_failure_text(reply.failureText);
    message.set_state(toWire(reply.state));
    if (reply.mark) {
        message.set_mark_term(reply.mark->term);
        message.set_mark_position(reply.mark->position);
    }
    if (const auto &load = frame.answer.load) {
        message.set_wait_ms(toMilliseconds(load->wait));
        message.set_service_ms(toMilliseconds(load->service));
    }
    return envelope.SerializeAsString();
}

std::string encode(const CloseFrame &frame)
{
    wire::ForwardFrame envelope;
    envelope.set_close(frame.channel);
    return envelope.SerializeAsString();
}

std::string encode(const PingFrame &frame)
{
    wire::ForwardFrame envelope;
    envelope.set_ping(frame.number);
    return envelope.SerializeAsString();
}

std::string encode(const PongFrame &frame)
{
    wire::ForwardFrame envelope;
    envelope.set_pong(frame.number);
    return envelope.SerializeAsString();
}

Core::ErrorOr<Frame> decodeFrame(std::string_view content)
{
    wire::ForwardFrame envelope;
    if (!envelope.ParseFromArray(content.data(), static_cast<int>(content.size())))
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "frame of " + std::to_string(content.size())
                                 + " bytes is not a valid ForwardFrame");
    switch (envelope.body_case()) {
    case wire::ForwardFrame::kStatement:
        return read(envelope.statement());
    case wire::ForwardFrame::kReply:
        return read(envelope.reply());
    case wire::ForwardFrame::kClose:
        return CloseFrame{envelope.close()};
    case wire::ForwardFrame::kPing:
        return PingFrame{envelope.ping()};
    case wire::ForwardFrame::kPong:
        return PongFrame{envelope.pong()};
    default:
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "frame of " + std::to_string(content.size())
                                 + " bytes has an unknown body type");
    }
}

} // namespace Chervilpin::FleetWire
