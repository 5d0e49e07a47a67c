#include "Connection.h"

#include "WireForm.h"

#include <Core/SteadyClock.h>

#include <chrono>
#include <utility>

namespace Chervilpin::UpstreamStandIn {

using Core::SteadyClock;
using Upstream::Answer;
using Upstream::Reason;

namespace {

/// After this an answer that was to change places with a later one is sent anyway.
constexpr std::chrono::milliseconds heldBackLimit{100};

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

template<typename Duration, typename Action>
void after(boost::asio::io_context &context, Duration delay, Action action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

} // namespace

void Connection::open(const std::string &metadata)
{
    database_.secrets().inspect(metadata, "metadata", database_.trail().lastNumber());
    if (database_.faults().isRefusing(SteadyClock::now()))
        return refuse();
    const auto number = database_.admit(shared_from_this());
    if (!number)
        return sink_->finish(FrameSink::End::TooManyConnections);
    number_ = *number;
}

void Connection::refuse()
{
    if (sink_)
        sink_->finish(FrameSink::End::Refused);
}

void Connection::close()
{
    if (std::exchange(isClosed_, true))
        return;
    wasInTransaction_ = session_.isInTransaction();
    session_ = {};
    connectTimer_.cancel();
    database_.forget(this);
    if (sink_)
        sink_->finish(FrameSink::End::Normal);
}

void Connection::rollBackIfIdle()
{
    if (statements_.empty())
        session_.rollBackIfIdle(SteadyClock::now());
}

bool Connection::isDeaf() const
{
    return isClosed_ || isSilent_ || database_.isCut(dataCentre_);
}

void Connection::receive(const Wire::ToDatabase &frame)
{
    if (number_ == 0 || isDeaf())
        return;
    take(frame);
}

void Connection::take(const Wire::ToDatabase &frame)
{
    auto &secrets = database_.secrets();
    const auto isKeySeen = secrets.hasSecrets()
        && secrets.inspect(frame.SerializeAsString(), "frame", database_.trail().lastNumber());
    if (frame.has_hello())
        return greet(frame.hello());
    if (frame.has_request())
        takeRequest(frame.request(), isKeySeen);
}

void Connection::greet(const Wire::Hello &hello)
{
    if (!proxy_.empty())
        return;
    if (hello.group() != database_.options().group)
        return sink_->finish(FrameSink::End::WrongGroup);
    proxy_ = hello.name();
    dataCentre_ = Core::DataCentreName(hello.data_centre());
    if (isDeaf())
        return;
    connectTimer_.expires_after(
        std::chrono::milliseconds(database_.options().connectDelayMilliseconds));
    connectTimer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error)
            return;
        Wire::FromDatabase frame;
        frame.mutable_hello()->set_name(self->database_.options().name);
        frame.mutable_hello()->set_group(self->database_.options().group);
        frame.mutable_hello()->set_data_centre(self->database_.options().dataCentre);
        self->sendFrame(frame);
        self->isOpen_ = true;
        for (const auto &early : std::exchange(self->beforeOpen_, {}))
            self->takeRequest(early.request, early.isKeySeen);
    });
}

void Connection::takeRequest(const Wire::Request &request, bool isKeySeen)
{
    if (!isOpen_) {
        beforeOpen_.push_back({request, isKeySeen});
        return;
    }
    const auto body = fromWire(request);
    if (!body)
        return answer(request.correlation_id(),
                      database_.state().notRun(Reason::BadStatement, body.error().message));
    handle(request.correlation_id(), *body, isKeySeen);
}

void Connection::handle(std::uint64_t correlationId, const Upstream::RequestBody &body,
                        bool isKeySeen)
{
    auto &state = database_.state();
    if (const auto *statement = std::get_if<Upstream::Statement>(&body)) {
        session_.touch(SteadyClock::now());
        statements_.push_back(
            {correlationId, *statement, isKeySeen, SteadyClock::nowMicroseconds(), 0});
        return startNext();
    }
    if (const auto *query = std::get_if<Upstream::StatusQuery>(&body))
        return answerStatus(correlationId, *query);
    Answer result;
    if (const auto *fence = std::get_if<Upstream::Fence>(&body))
        result = state.fence(*fence);
    else if (const auto *promote = std::get_if<Upstream::Promote>(&body))
        result = state.promote(*promote);
    else
        result = state.follow(std::get<Upstream::Follow>(body));
    database_.stateChanged();
    answer(correlationId, std::move(result));
}

void Connection::answerStatus(std::uint64_t correlationId, const Upstream::StatusQuery &query)
{
    database_.waitFor(
        [&state = database_.state(), mark = query.atLeast] { return state.holds(mark); },
        query.wait,
        [self = shared_from_this(), correlationId] {
            self->answer(correlationId, self->database_.state().done());
        });
}

void Connection::startNext()
{
    if (isBusy_ || isClosed_ || statements_.empty())
        return;
    isBusy_ = true;
    awaitMark();
}

void Connection::awaitMark()
{
    const auto &statement = statements_.front().statement;
    const auto isOver = [&state = database_.state(), statement] {
        const auto refused = state.refusal(statement);
        return !refused || refused->reason != Reason::Behind;
    };
    database_.waitFor(isOver, statement.wait, [self = shared_from_this()] { self->awaitSlot(); });
}

void Connection::awaitSlot()
{
    if (isClosed_)
        return;
    if (auto refused = database_.state().refusal(statements_.front().statement)) {
        record(statements_.front(), session_.transactionName(), *refused);
        return finishStatement(std::move(*refused));
    }
    const auto isAccepted = database_.slots().acquire([self = shared_from_this()] {
        // A slot that comes too late for its statement goes to the next in line.
        if (self->isClosed_)
            return self->database_.slots().release();
        self->serve();
    });
    if (!isAccepted)
        finishStatement(database_.state().notRun(Reason::Overloaded, "too many statements wait"));
}

void Connection::serve()
{
    statements_.front().startedMicroseconds = SteadyClock::nowMicroseconds();
    session_.touch(SteadyClock::now());
    const std::chrono::microseconds length(database_.options().serviceMicroseconds);
    after(database_.context(), length, [self = shared_from_this()] { self->execute(); });
}

void Connection::execute()
{
    const auto &waiting = statements_.front();
    // The end of the stream rolled the transaction back; its last statement must not run alone.
    if (!isClosed_ || !wasInTransaction_) {
        const auto openTransaction = session_.transactionName();
        auto result = session_.execute(database_.state(), waiting.statement, SteadyClock::now());
        database_.stateChanged();
        const auto queued = waiting.startedMicroseconds - waiting.arrivedMicroseconds;
        result.queuedMicroseconds = static_cast<std::uint64_t>(queued);
        record(waiting, openTransaction, result);
        database_.slots().release();
        return finishStatement(std::move(result));
    }
    database_.slots().release();
}

void Connection::finishStatement(Answer result)
{
    const auto correlationId = statements_.front().correlationId;
    statements_.pop_front();
    isBusy_ = false;
    answer(correlationId, std::move(result));
    startNext();
}

void Connection::record(const WaitingStatement &waiting, const std::string &openTransaction,
                        const Answer &result)
{
    StandIn::AuditEntry entry;
    entry.connection = number_;
    entry.proxy = proxy_;
    entry.transaction = waiting.statement.transaction;
    entry.openTransaction = openTransaction;
    entry.kind = waiting.statement.kind;
    entry.statementTerm = waiting.statement.term;
    entry.held = result.status.held;
    entry.verdict = result.verdict;
    entry.reason = result.reason;
    entry.unixMicroseconds = unixMicroseconds();
    entry.traceparent = waiting.statement.traceparent;
    entry.text = waiting.statement.text;
    entry.keySeen = waiting.isKeySeen;
    database_.trail().record(std::move(entry));
}

void Connection::answer(std::uint64_t correlationId, Answer result)
{
    result.status.queued = static_cast<std::uint32_t>(database_.slots().waiting());
    Wire::FromDatabase frame;
    frame.mutable_answer()->set_correlation_id(correlationId);
    toWire(result, *frame.mutable_answer());
    const auto plan = database_.faults().planAnswer(SteadyClock::now());
    if (plan.copies == 0)
        return;
    if (plan.delay == Core::Duration())
        return dispatch(frame, plan);
    after(database_.context(), std::chrono::milliseconds(plan.delay.milliseconds()),
          [self = shared_from_this(), frame, plan] { self->dispatch(frame, plan); });
}

void Connection::dispatch(const Wire::FromDatabase &frame, const StandIn::AnswerPlan &plan)
{
    if (plan.changesPlaces && !heldBack_) {
        heldBack_ = frame;
        return after(database_.context(), heldBackLimit,
                     [self = shared_from_this()] { self->sendHeldBack(); });
    }
    for (unsigned copy = 0; copy < plan.copies; ++copy)
        sendFrame(frame);
    sendHeldBack();
}

void Connection::sendHeldBack()
{
    if (const auto frame = std::exchange(heldBack_, std::nullopt))
        sendFrame(*frame);
}

void Connection::sendFrame(const Wire::FromDatabase &frame)
{
    if (sink_ && !isDeaf())
        sink_->send(frame);
}

} // namespace Chervilpin::UpstreamStandIn
