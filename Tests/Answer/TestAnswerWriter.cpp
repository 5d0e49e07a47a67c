#include <Answer/AnswerWriter.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using Engine::CallerAnswer;
using Engine::RefusalReason;

TEST_GROUP(AnswerWriter){};

TEST(AnswerWriter, EachReasonHasItsStatus)
{
    struct Row
    {
        RefusalReason reason;
        unsigned status;
    };
    const Row rows[] = {
        {RefusalReason::None, 200},         {RefusalReason::BadRequest, 400},
        {RefusalReason::NotReady, 503},     {RefusalReason::UnknownKey, 401},
        {RefusalReason::UnknownRoute, 404}, {RefusalReason::RateExceeded, 429},
        {RefusalReason::QueueFull, 503},    {RefusalReason::DeadlinePassed, 503},
        {RefusalReason::NoPrimary, 503},    {RefusalReason::NotFreshEnough, 503},
        {RefusalReason::WrongHalf, 421},    {RefusalReason::TransactionEnded, 409},
        {RefusalReason::ShuttingDown, 503}, {RefusalReason::UpstreamFailed, 422},
        {RefusalReason::AnswerLost, 504},
    };
    for (const Row &row : rows) {
        CallerAnswer answer;
        answer.reason = row.reason;
        LONGS_EQUAL(row.status, Answer::writeAnswer(answer).httpStatus);
    }
}

TEST(AnswerWriter, ARefusalSaysWhetherItRanAndWhenToComeBack)
{
    CallerAnswer answer;
    answer.reason = RefusalReason::RateExceeded;
    answer.message = "the team is over its rate";
    answer.retryAfter = Core::Duration(1200);
    answer.traceId = "t";
    const auto text = Answer::writeAnswer(answer);
    STRCMP_EQUAL(R"({"outcome":"not_run","reason":"rate_exceeded",)"
                 R"("message":"the team is over its rate","retry_after_ms":1200,"trace_id":"t"})",
                 text.body.c_str());
    LONGS_EQUAL(2, text.retryAfterSeconds);
}

TEST(AnswerWriter, RowsArePassedOnAsJson)
{
    CallerAnswer answer;
    answer.outcome = Core::Outcome::Done;
    answer.rows = {R"({"key":"a"})", "no json"};
    STRCMP_EQUAL(R"({"outcome":"done","rows":[{"key":"a"},"no json"],"trace_id":""})",
                 Answer::writeAnswer(answer).body.c_str());
}
