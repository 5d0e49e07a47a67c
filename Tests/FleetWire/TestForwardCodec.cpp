#include <FleetWire/ForwardCodec.h>
#include <FleetWire/FrameBuffer.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::FleetWire;
using Chervilpin::Sessions::Failure;
using Chervilpin::Sessions::ForwardedProgress;
using Chervilpin::Sessions::StatementKind;
using Chervilpin::Sessions::TransactionState;

TEST_GROUP(ForwardCodec){};

TEST(ForwardCodec, StatementsRoundTrip)
{
    StatementFrame frame;
    frame.channel = 77;
    auto &statement = frame.statement;
    statement.group = Core::GroupName("g");
    statement.database = Core::DatabaseName("db");
    statement.team = Core::TeamName("team");
    statement.route = Core::RouteName("route");
    statement.priority = 2;
    statement.statementTimeout = Core::Duration(800);
    statement.queueTimeout = Core::Duration(50);
    statement.isPrimaryNeeded = true;
    statement.atLeast = Core::LogMark{3, 1207};
    statement.begin = StatementKind::BeginRead;
    statement.values["name"] = "a value";
    statement.shape = Sessions::PreparedShape{Sessions::Access::Write, "q2c"};
    statement.statement = {"id", StatementKind::Execute, "s1", Sessions::Access::Read, "1a4 x"};
    const auto decoded = decodeFrame(encode(frame));
    CHECK(decoded.has_value());
    const auto &result = std::get<StatementFrame>(*decoded);
    LONGS_EQUAL(77, result.channel);
    CHECK(result.statement.group == statement.group);
    CHECK(result.statement.database == statement.database);
    CHECK(result.statement.team == statement.team);
    CHECK(result.statement.route == statement.route);
    LONGS_EQUAL(2, result.statement.priority);
    CHECK(result.statement.statementTimeout == statement.statementTimeout);
    CHECK(result.statement.queueTimeout == statement.queueTimeout);
    CHECK(result.statement.isPrimaryNeeded);
    CHECK(result.statement.atLeast == statement.atLeast);
    CHECK(result.statement.begin == statement.begin);
    CHECK(result.statement.values == statement.values);
    CHECK(result.statement.shape == statement.shape);
    STRCMP_EQUAL("id", result.statement.statement.id.c_str());
    CHECK(result.statement.statement.kind == StatementKind::Execute);
    STRCMP_EQUAL("s1", result.statement.statement.name.c_str());
    STRCMP_EQUAL("1a4 x", result.statement.statement.arguments.c_str());
}

TEST(ForwardCodec, RepliesRoundTripForEveryFailureAndProgress)
{
    for (int failure = 0; failure <= static_cast<int>(Failure::Other); ++failure) {
        for (const auto progress : {ForwardedProgress::Stopping, ForwardedProgress::NotAccepted,
                                    ForwardedProgress::NotSent, ForwardedProgress::Sent}) {
            ReplyFrame frame;
            frame.channel = 5;
            frame.answer.progress = progress;
            frame.answer.reply.failure = static_cast<Failure>(failure);
            frame.answer.reply.failureText = "why";
            frame.answer.reply.state = TransactionState::Failed;
            const auto decoded = decodeFrame(encode(frame));
            CHECK(decoded.has_value());
            const auto &result = std::get<ReplyFrame>(*decoded);
            CHECK(result.answer.progress == progress);
            CHECK(result.answer.reply.failure == frame.answer.reply.failure);
            CHECK(result.answer.reply.state == TransactionState::Failed);
            CHECK(!result.answer.reply.mark);
        }
    }
}

TEST(ForwardCodec, LoadOfThePoolerRoundTrips)
{
    ReplyFrame frame;
    CHECK(!std::get<ReplyFrame>(*decodeFrame(encode(frame))).answer.load);
    // No wait is a report as well.
    frame.answer.load = {Core::Duration(0), Core::Duration(15)};
    const auto read = std::get<ReplyFrame>(*decodeFrame(encode(frame)));
    CHECK(read.answer.load && read.answer.load->wait == Core::Duration(0));
    CHECK(read.answer.load->service == Core::Duration(15));
}

TEST(ForwardCodec, InvalidFramesAreRejected)
{
    CHECK(!decodeFrame("no protobuf \xff").has_value());
    CHECK(!decodeFrame("").has_value());
    // A statement without group, database and kind.
    CHECK(!decodeFrame(encode(StatementFrame())).has_value());
    const std::string complete = encode(PingFrame{1'000'000});
    CHECK(!decodeFrame(complete.substr(0, complete.size() - 1)).has_value());
}

TEST(ForwardCodec, FramesAreReassembledFromChunksOfAnySize)
{
    const std::string bytes = toFrame("first") + toFrame("") + toFrame(std::string(3'000, 'x'));
    for (const std::size_t chunkSize : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
        FrameBuffer buffer;
        std::vector<std::string> frames;
        for (std::size_t at = 0; at < bytes.size(); at += chunkSize) {
            buffer.feed(std::span(bytes).subspan(at, std::min(chunkSize, bytes.size() - at)));
            while (const auto frame = buffer.next())
                frames.emplace_back(*frame);
        }
        LONGS_EQUAL(3, frames.size());
        STRCMP_EQUAL("first", frames[0].c_str());
        LONGS_EQUAL(0, frames[1].size());
        LONGS_EQUAL(3'000, frames[2].size());
        CHECK(!buffer.isOverlong());
    }
}

TEST(ForwardCodec, OverlongFramesAreDetectedFromTheLengthPrefix)
{
    FrameBuffer buffer;
    const std::string lengthPrefix = toFrame(std::string(maximumFrameBytes + 1, 'x')).substr(0, 4);
    buffer.feed(lengthPrefix);
    CHECK(buffer.isOverlong());
    CHECK(!buffer.next());
}
