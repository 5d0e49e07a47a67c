#include <platform/LineBuffer.h>
#include <platform/SessionCodec.h>

#include <Tests/Fakes/LogMarks.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace Chervilpin;
using namespace Chervilpin::Adapter;
using namespace Chervilpin::Sessions;

namespace {

Statement statementOf(std::string_view line)
{
    const auto message = decodeCallerLine(line);
    const auto *statement = std::get_if<Statement>(&message);
    return statement ? *statement : Statement();
}

DatabaseReply replyOf(std::initializer_list<std::string_view> lines)
{
    ReplyReader reader;
    for (const auto line : lines) {
        auto taken = reader.take(line);
        if (taken && *taken)
            return std::move(**taken);
    }
    return {};
}

} // namespace

TEST_GROUP(SessionCodec){};

TEST(SessionCodec, StatementsRoundTripUnchanged)
{
    const struct
    {
        const char *text;
        StatementKind kind;
    } cases[] = {
        {"BEGIN", StatementKind::Begin},
        {"BEGIN READ", StatementKind::BeginRead},
        {"COMMIT", StatementKind::Commit},
        {"ROLLBACK", StatementKind::Rollback},
        {"READ 1a4", StatementKind::Read},
        {"WRITE 1a4 some  data ", StatementKind::Write},
        {"SET zone a b", StatementKind::SetValue},
        {"PREPARE s1 WRITE q2c", StatementKind::Prepare},
        {"PREPARE s1 READ q2c", StatementKind::Prepare},
        {"EXECUTE s1 1a4 data", StatementKind::Execute},
        {"DEALLOC s1", StatementKind::Deallocate},
    };
    for (const auto &row : cases) {
        const std::string line = "QUERY 5c0e " + std::string(row.text);
        const Statement statement = statementOf(line);
        CHECK_TEXT(statement.kind == row.kind, row.text);
        STRCMP_EQUAL((line + "\r\n").c_str(), encode(SendStatement{1, statement, {}}).c_str());
    }
}

TEST(SessionCodec, InvalidCallerLinesAreMalformed)
{
    const char *cases[] = {
        "QUERY 1 ",
        "QUERY 1 NONSENSE",
        "QUERY 1 BEGIN WRITE",
        "QUERY 1 READ",
        "QUERY 1 SET a",
        "QUERY 1 PREPARE s",
        "QUERY 1 PREPARE s X y",
        "QUERY 1 EXECUTE s",
        "QUERY 1 COMMIT now",
        "QUERY 1 RESET",
        "QUERY 1 STATUS",
        "QUERY 1 WAITPOS 3.1 READ 1a4",
    };
    for (const char *line : cases)
        CHECK_TEXT(statementOf(line).kind == StatementKind::Malformed, line);
    for (const char *line : {"", "QUERY", "CONNECT", "HELLO world"})
        CHECK_TEXT(std::holds_alternative<MalformedMessage>(decodeCallerLine(line)), line);
}

TEST(SessionCodec, RequiredMarkPrecedesTheStatement)
{
    Statement read;
    read.id = "7";
    read.kind = StatementKind::Read;
    read.arguments = "1a4";
    STRCMP_EQUAL("QUERY 7 WAITPOS 3.1207 READ 1a4\r\n",
                 encode(SendStatement{1, read, Core::LogMark{3, 1207}}).c_str());
}

TEST(SessionCodec, RepliesAreAssembledFromLines)
{
    const auto reply = replyOf({"ROW qhz kw", "COMPLETE 7.1f3", "READY T 3.1209"});
    STRCMP_EQUAL("ROW qhz kw\r\nCOMPLETE 7.1f3\r\n", reply.body.c_str());
    CHECK(!reply.failure && reply.state == TransactionState::Open);
    CHECK(reply.mark == Fakes::logMark(3, 1209));
}

TEST(SessionCodec, FailureCodesAreDecoded)
{
    const struct
    {
        const char *line;
        Failure failure;
    } cases[] = {
        {"ERROR BUSY full", Failure::Busy},
        {"ERROR LAGGING 1.2", Failure::Lagging},
        {"ERROR READONLY i-7", Failure::ReadOnly},
        {"ERROR NOSTMT p1", Failure::UnknownPrepared},
        {"ERROR EXECFAIL x", Failure::ExecutionFailed},
        {"ERROR TIMEOUT x", Failure::Timeout},
        {"ERROR NEWCODE x", Failure::Other},
    };
    for (const auto &row : cases) {
        const auto reply = replyOf({row.line, "READY E 3.1209"});
        CHECK_TEXT(reply.failure == row.failure, row.line);
        CHECK_TEXT(reply.state == TransactionState::Failed, row.line);
    }
}

TEST(SessionCodec, StatusRowsAreDecoded)
{
    const auto reply = replyOf({"ROW replica 3 3.1209 0 12 2 17", "COMPLETE -", "READY I 3.1204"});
    CHECK(reply.status.has_value());
    CHECK(reply.status->role == DatabaseRole::Replica && reply.status->term == 3);
    CHECK(reply.status->received == Fakes::logMark(3, 1209));
}

TEST(SessionCodec, InvalidDatabaseLinesAreRejected)
{
    for (const char *line : {"", "HELLO", "READY X 1.2", "READY"}) {
        ReplyReader reader;
        CHECK_TEXT(!reader.take(line).has_value(), line);
    }
}

TEST(SessionCodec, AnswersEndWithTheTransactionState)
{
    AnswerSession answer;
    answer.state = TransactionState::Failed;
    answer.failure = Failure::Aborted;
    answer.text = "why";
    STRCMP_EQUAL("ERROR ABORTED why\r\nREADY E -\r\n", encode(answer).c_str());
    STRCMP_EQUAL("COMPLETE -\r\nREADY I -\r\n", encode(AnswerSession()).c_str());
}

TEST_GROUP(LineBuffer)
{
    LineBuffer buffer;
    void feed(std::string_view text)
    {
        buffer.feed(std::span(text.data(), text.size()));
    }
};

TEST(LineBuffer, LinesAreReassembledFromChunks)
{
    const std::string_view text = "one\r\ntwo\r\n\r\nthree\r\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        LineBuffer chunks;
        std::string joined;
        for (const auto chunk : {text.substr(0, cut), text.substr(cut)}) {
            chunks.feed(std::span(chunk.data(), chunk.size()));
            while (const auto line = chunks.next())
                joined += std::string(*line) + "|";
        }
        STRCMP_EQUAL("one|two||three|", joined.c_str());
    }
}

TEST(LineBuffer, OverlongLinesAreDetected)
{
    feed(std::string(maximumLineBytes, 'x'));
    CHECK(!buffer.next());
    CHECK(!buffer.isOverlong());
    feed("y");
    CHECK(buffer.isOverlong());
}
