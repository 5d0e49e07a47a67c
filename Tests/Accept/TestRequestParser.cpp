#include <Accept/RequestParser.h>

#include <CppUTest/TestHarness.h>
#include <string>

using namespace Chervilpin;
using Accept::parseRequest;
using Accept::RequestText;

namespace {

RequestText textWithBody(std::string_view body)
{
    RequestText text;
    text.contentType = "application/json";
    text.body = body;
    return text;
}

constexpr std::string_view goodBody = R"({"route":"r","kind":"read","statement":"get a"})";

} // namespace

TEST_GROUP(RequestParser){};

TEST(RequestParser, BadBodiesNameWhatIsWrong)
{
    struct Row
    {
        std::string body;
        const char *error;
    };
    const std::string nested = R"({"route":)" + std::string(64, '[') + std::string(64, ']') + "}";
    const std::string longName = R"({"route":")" + std::string(300, 'r') + R"(","kind":"read"})";
    const std::string longStatement =
        R"({"route":"r","kind":"read","statement":")" + std::string(200'000, 's') + R"("})";
    const Row rows[] = {
        {"", "the body is not valid JSON: incomplete JSON"},
        {"[]", "the body must be a JSON object"},
        {"{\"route\":\"\xff\xfe\"}", "the body is not valid JSON: syntax error"},
        {nested, "the body is not valid JSON: too deep"},
        {R"({"route":"r","kind":"read","statement":"s"}x)",
         "the body is not valid JSON: extra data"},
        {R"({"kind":"read","statement":"s"})", "field 'route' is missing"},
        {R"({"route":"r","statement":"s"})", "field 'kind' is missing"},
        {R"({"route":7,"kind":"read"})", "field 'route' must be a string"},
        {R"({"route":"r","kind":"peek"})",
         "field 'kind' must be one of read, write, begin, commit, rollback"},
        {R"({"route":"r","kind":"read"})", "field 'statement' is missing"},
        {R"({"route":"r","kind":"begin","statement":"s"})",
         "field 'statement' is only for reads and writes"},
        {R"({"route":"r","kind":"commit"})", "field 'transaction' is missing"},
        {R"({"route":"r","kind":"begin","transaction":"t"})",
         "field 'transaction' is named by the answer to begin"},
        {R"({"route":"r","kind":"read","statement":"s","freshness":"stated_age"})",
         "field 'max_age_ms' goes with freshness stated_age, and only with it"},
        {R"({"route":"r","kind":"read","statement":"s","max_age_ms":5})",
         "field 'max_age_ms' goes with freshness stated_age, and only with it"},
        {R"({"route":"r","kind":"read","statement":"s","max_age_ms":-5})",
         "field 'max_age_ms' must be a whole number from 0 to 86400000"},
        {R"({"route":"r","kind":"write","statement":"s","idempotent":"yes"})",
         "field 'idempotent' must be true or false"},
        {R"({"route":"r","kind":"read","statement":"s","retries":3})",
         "field 'retries' is not known"},
        {longName, "field 'route' is longer than 253 bytes"},
        {longStatement, "field 'statement' is longer than 131072 bytes"},
    };
    for (const Row &row : rows) {
        const auto request = parseRequest(textWithBody(row.body));
        CHECK_TEXT(!request.has_value(), row.error);
        const std::string message =
            request.error().message.substr(0, std::string(row.error).size());
        STRCMP_EQUAL(row.error, message.c_str());
    }
}

TEST(RequestParser, BadHeadersNameWhatIsWrong)
{
    struct Row
    {
        std::string_view RequestText::*field;
        std::string_view value;
        const char *error;
    };
    const Row rows[] = {
        {&RequestText::contentType, "text/plain", "header 'Content-Type' must be application/json"},
        {&RequestText::authorization, "Basic abc",
         "header 'Authorization' must be of the form 'Bearer <key>'"},
        {&RequestText::deadline, "soon",
         "header 'Chervilpin-Deadline-Ms' must be a whole number from 1 to 300000"},
        {&RequestText::deadline, "0",
         "header 'Chervilpin-Deadline-Ms' must be a whole number from 1 to 300000"},
        {&RequestText::deadline, "99999999999999999999",
         "header 'Chervilpin-Deadline-Ms' must be a whole number from 1 to 300000"},
    };
    for (const Row &row : rows) {
        RequestText text = textWithBody(goodBody);
        text.*row.field = row.value;
        const auto request = parseRequest(text);
        CHECK_TEXT(!request.has_value(), row.error);
        STRCMP_EQUAL(row.error, request.error().message.c_str());
    }
}

TEST(RequestParser, AWholeRequestIsReadIntoItsFields)
{
    RequestText text = textWithBody(
        R"({"route":"r","kind":"write","statement":"put a 1","idempotent":true,"transaction":"t"})");
    text.authorization = "Bearer secret";
    text.session = "token";
    text.deadline = "250";
    const auto request = parseRequest(text);
    CHECK(request.has_value());
    STRCMP_EQUAL("secret", request->key.c_str());
    STRCMP_EQUAL("token", request->sessionToken.c_str());
    STRCMP_EQUAL("t", request->transaction.c_str());
    LONGS_EQUAL(250, request->deadline.milliseconds());
    CHECK(request->repeatability == Engine::Repeatability::Idempotent);
}

TEST(RequestParser, AStatementIsNotRepeatableUnlessSaid)
{
    const auto request = parseRequest(textWithBody(goodBody));
    CHECK(request.has_value());
    CHECK(request->repeatability == Engine::Repeatability::NotRepeatable);
}
