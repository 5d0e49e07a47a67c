#include <Answer/AnswerWriter.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Chervilpin::Answer {

namespace {

namespace json = boost::json;
using Engine::RefusalReason;

constexpr std::int64_t millisecondsPerSecond = 1000;

unsigned httpStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return 200;
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::UnknownKey:
        return 401;
    case RefusalReason::UnknownRoute:
        return 404;
    case RefusalReason::TransactionEnded:
        return 409;
    case RefusalReason::WrongHalf:
        return 421;
    case RefusalReason::UpstreamFailed:
        return 422;
    case RefusalReason::RateExceeded:
        return 429;
    case RefusalReason::QueueFull:
    case RefusalReason::NoPrimary:
    case RefusalReason::NotFreshEnough:
    case RefusalReason::NotReady:
    case RefusalReason::ShuttingDown:
    case RefusalReason::DeadlinePassed:
        return 503;
    case RefusalReason::AnswerLost:
        return 504;
    }
    return 500;
}

json::array readRows(const std::vector<std::string> &rows)
{
    json::array output;
    for (const auto &row : rows) {
        boost::system::error_code error;
        json::value value = json::parse(row, error);
        // A row that is no JSON comes from a foreign database; it is passed on as a text.
        output.push_back(error ? json::value(row) : std::move(value));
    }
    return output;
}

} // namespace

AnswerText writeAnswer(const Engine::CallerAnswer &answer)
{
    json::object body;
    body["outcome"] = Core::toString(answer.outcome);
    if (answer.reason != RefusalReason::None)
        body["reason"] = Engine::toString(answer.reason);
    if (!answer.message.empty())
        body["message"] = answer.message;
    if (answer.outcome == Core::Outcome::Done)
        body["rows"] = readRows(answer.rows);
    if (!answer.transaction.empty())
        body["transaction"] = answer.transaction;
    if (answer.retryAfter.milliseconds() > 0)
        body["retry_after_ms"] = answer.retryAfter.milliseconds();
    if (!answer.location.empty())
        body["location"] = answer.location;
    body["trace_id"] = answer.traceId;

    AnswerText text;
    text.httpStatus = httpStatus(answer.reason);
    text.body = json::serialize(body);
    text.session = answer.sessionToken;
    text.retryAfterSeconds = static_cast<unsigned>(
        (answer.retryAfter.milliseconds() + millisecondsPerSecond - 1) / millisecondsPerSecond);
    return text;
}

} // namespace Chervilpin::Answer
