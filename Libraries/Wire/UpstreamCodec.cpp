#include <Wire/UpstreamCodec.h>

#include <upstream.pb.h>

namespace Chervilpin::Wire {

namespace {

namespace wire = chervilpin::upstream;

void encodeMark(Core::LogMark mark, wire::Mark &output)
{
    output.set_term(mark.term);
    output.set_position(mark.position);
}

wire::StatementKind toWire(Upstream::StatementKind kind)
{
    switch (kind) {
    case Upstream::StatementKind::Read:
        return wire::STATEMENT_KIND_READ;
    case Upstream::StatementKind::Write:
        return wire::STATEMENT_KIND_WRITE;
    case Upstream::StatementKind::Begin:
        return wire::STATEMENT_KIND_BEGIN;
    case Upstream::StatementKind::Commit:
        return wire::STATEMENT_KIND_COMMIT;
    case Upstream::StatementKind::Rollback:
        return wire::STATEMENT_KIND_ROLLBACK;
    }
    return wire::STATEMENT_KIND_READ;
}

std::uint32_t toWire(Core::Duration duration)
{
    return static_cast<std::uint32_t>(duration.milliseconds());
}

/// Writes each kind of request into the message's own field.
struct BodyEncoder
{
    wire::Request &output;

    void operator()(const Upstream::Statement &statement) const
    {
        auto &message = *output.mutable_statement();
        message.set_term(statement.term);
        message.set_kind(toWire(statement.kind));
        message.set_text(statement.text);
        encodeMark(statement.atLeast, *message.mutable_at_least());
        message.set_wait_ms(toWire(statement.wait));
        message.set_traceparent(statement.traceparent);
        message.set_transaction_idle_ms(toWire(statement.transactionIdle));
        message.set_transaction(statement.transaction);
    }

    void operator()(const Upstream::StatusQuery &query) const
    {
        auto &message = *output.mutable_status_query();
        encodeMark(query.atLeast, *message.mutable_at_least());
        message.set_wait_ms(toWire(query.wait));
    }

    void operator()(const Upstream::Fence &fence) const
    {
        output.mutable_fence()->set_term(fence.term);
    }

    void operator()(const Upstream::Promote &promote) const
    {
        output.mutable_promote()->set_term(promote.term);
    }

    void operator()(const Upstream::Follow &follow) const
    {
        auto &message = *output.mutable_follow();
        message.set_term(follow.term);
        message.set_primary_database(follow.primary.value());
        message.set_primary_address(follow.primaryAddress);
    }
};

Upstream::Verdict fromWire(wire::Verdict verdict)
{
    switch (verdict) {
    case wire::VERDICT_DONE:
        return Upstream::Verdict::Done;
    case wire::VERDICT_NOT_RUN:
        return Upstream::Verdict::NotRun;
    default:
        return Upstream::Verdict::Failed;
    }
}

Upstream::Reason fromWire(wire::Reason reason)
{
    switch (reason) {
    case wire::REASON_NONE:
        return Upstream::Reason::None;
    case wire::REASON_SUPERSEDED:
        return Upstream::Reason::Superseded;
    case wire::REASON_NOT_PRIMARY:
        return Upstream::Reason::NotPrimary;
    case wire::REASON_BEHIND:
        return Upstream::Reason::Behind;
    case wire::REASON_NO_TRANSACTION:
        return Upstream::Reason::NoTransaction;
    case wire::REASON_OVERLOADED:
        return Upstream::Reason::Overloaded;
    default:
        return Upstream::Reason::BadStatement;
    }
}

Upstream::Status decodeStatus(const wire::Status &input)
{
    Upstream::Status status;
    status.knownTerm = input.known_term();
    status.held = {input.held().term(), input.held().position()};
    const bool isPrimary = input.role() == wire::ROLE_PRIMARY;
    status.role = isPrimary ? Upstream::Role::Primary : Upstream::Role::Replica;
    status.primary = Core::DatabaseName(input.primary_database());
    status.queued = input.queued();
    return status;
}

} // namespace

void encode(Upstream::CorrelationId id, const Upstream::RequestBody &body, wire::Request &output)
{
    output.set_correlation_id(id);
    std::visit(BodyEncoder{output}, body);
}

Upstream::Answer decode(const wire::Answer &input)
{
    Upstream::Answer answer;
    answer.verdict = fromWire(input.verdict());
    answer.reason = fromWire(input.reason());
    answer.message = input.message();
    answer.status = decodeStatus(input.status());
    answer.rows.assign(input.rows().begin(), input.rows().end());
    answer.queuedMicroseconds = input.queued_us();
    return answer;
}

} // namespace Chervilpin::Wire
