#include "WireForm.h"

namespace Chervilpin::UpstreamStandIn {

namespace {

Core::LogMark fromWire(const Wire::Mark &mark)
{
    return {mark.term(), mark.position()};
}

void toWire(Core::LogMark mark, Wire::Mark &wire)
{
    wire.set_term(mark.term);
    wire.set_position(mark.position);
}

Core::ErrorOr<Upstream::RequestBody> fromWire(const Wire::Statement &wire)
{
    if (!Wire::StatementKind_IsValid(wire.kind()))
        return Core::failure(Core::ErrorCode::InvalidArgument, "unknown kind of statement");
    Upstream::Statement statement;
    statement.term = wire.term();
    statement.kind = static_cast<Upstream::StatementKind>(wire.kind());
    statement.text = wire.text();
    statement.atLeast = fromWire(wire.at_least());
    statement.wait = Core::Duration(wire.wait_ms());
    statement.traceparent = wire.traceparent();
    statement.transactionIdle = Core::Duration(wire.transaction_idle_ms());
    statement.transaction = wire.transaction();
    return statement;
}

Upstream::RequestBody fromWire(const Wire::StatusQuery &wire)
{
    return Upstream::StatusQuery{fromWire(wire.at_least()), Core::Duration(wire.wait_ms())};
}

Upstream::RequestBody fromWire(const Wire::Follow &wire)
{
    return Upstream::Follow{wire.term(), Core::DatabaseName(wire.primary_database()),
                            wire.primary_address()};
}

void toWire(const Upstream::Status &status, Wire::Status &wire)
{
    wire.set_known_term(status.knownTerm);
    toWire(status.held, *wire.mutable_held());
    wire.set_role(static_cast<Wire::Role>(status.role));
    wire.set_primary_database(status.primary.value());
    wire.set_queued(status.queued);
}

} // namespace

Core::ErrorOr<Upstream::RequestBody> fromWire(const Wire::Request &request)
{
    switch (request.body_case()) {
    case Wire::Request::kStatement:
        return fromWire(request.statement());
    case Wire::Request::kStatusQuery:
        return fromWire(request.status_query());
    case Wire::Request::kFence:
        return Upstream::Fence{request.fence().term()};
    case Wire::Request::kPromote:
        return Upstream::Promote{request.promote().term()};
    case Wire::Request::kFollow:
        return fromWire(request.follow());
    case Wire::Request::BODY_NOT_SET:
        break;
    }
    return Core::failure(Core::ErrorCode::InvalidArgument, "a request without a body");
}

void toWire(const Upstream::Answer &answer, Wire::Answer &wire)
{
    wire.set_verdict(static_cast<Wire::Verdict>(answer.verdict));
    wire.set_reason(static_cast<Wire::Reason>(answer.reason));
    wire.set_message(answer.message);
    toWire(answer.status, *wire.mutable_status());
    for (const auto &row : answer.rows)
        wire.add_rows(row);
    wire.set_queued_us(answer.queuedMicroseconds);
}

StandIn::ReplicationPull fromWire(const Wire::ReplicationPull &wire)
{
    return {wire.term(), Core::DatabaseName(wire.replica()), fromWire(wire.held())};
}

StandIn::ReplicationBatch fromWire(const Wire::ReplicationBatch &wire)
{
    StandIn::ReplicationBatch batch;
    batch.term = wire.term();
    batch.after = wire.after();
    batch.isRefused = wire.refused();
    batch.knownTerm = wire.known_term();
    batch.entries.reserve(static_cast<std::size_t>(wire.entries_size()));
    for (const auto &entry : wire.entries())
        batch.entries.push_back(
            {fromWire(entry.mark()), {entry.writes().begin(), entry.writes().end()}});
    return batch;
}

void toWire(const StandIn::ReplicationPull &pull, Wire::ReplicationPull &wire)
{
    wire.set_term(pull.term);
    wire.set_replica(pull.replica.value());
    toWire(pull.held, *wire.mutable_held());
}

void toWire(const StandIn::ReplicationBatch &batch, Wire::ReplicationBatch &wire)
{
    wire.set_term(batch.term);
    wire.set_after(batch.after);
    wire.set_refused(batch.isRefused);
    wire.set_known_term(batch.knownTerm);
    for (const auto &entry : batch.entries) {
        auto *added = wire.add_entries();
        toWire(entry.mark, *added->mutable_mark());
        for (const auto &write : entry.writes)
            added->add_writes(write);
    }
}

} // namespace Chervilpin::UpstreamStandIn
