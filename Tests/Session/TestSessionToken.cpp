#include <Tests/Fakes/SeededProperty.h>

#include <Session/Base64Url.h>
#include <Session/SessionToken.h>

#include <CppUTest/TestHarness.h>
#include <string>

using namespace Chervilpin;
using Core::GroupName;
using Core::LogMark;
using Session::SessionToken;

namespace {

const GroupName first("registry-1");
const GroupName second("registry-2");

SessionToken sampleToken()
{
    SessionToken token;
    token.advance(first, {3, 41});
    token.advance(second, {1, 7});
    return token;
}

GroupName numberedGroup(std::size_t number)
{
    return GroupName("group-" + std::to_string(number));
}

} // namespace

TEST_GROUP(SessionToken){};

TEST(SessionToken, DecodesWhatItEncoded)
{
    const auto decoded = SessionToken::decode(sampleToken().encode());
    CHECK(decoded.has_value());
    CHECK(*decoded == sampleToken());
}

TEST(SessionToken, ConsistsOfUrlSafeCharacters)
{
    const std::string text = sampleToken().encode();
    CHECK(text.find_first_of("+/=& ") == std::string::npos);
}

TEST(SessionToken, NeverGoesBack)
{
    SessionToken token = sampleToken();
    token.advance(first, {3, 40});
    token.advance(first, {2, 99});
    CHECK(token == sampleToken());
    token.advance(first, {4, 2});
    CHECK(*token.demandedMark(first) == (LogMark{4, 2}));
}

TEST(SessionToken, AsksNothingOfGroupsThatTheSessionDidNotWrite)
{
    CHECK(*sampleToken().demandedMark(GroupName("other")) == LogMark{});
}

TEST(SessionToken, KeepsReadsOfUnlistedGroupsStrongIfItStartedLate)
{
    SessionToken token = SessionToken::startedLate();
    token.advance(first, {3, 41});
    const auto decoded = SessionToken::decode(token.encode());
    CHECK(decoded.has_value());
    CHECK(*decoded->demandedMark(first) == (LogMark{3, 41}));
    CHECK(!decoded->demandedMark(second).has_value());
}

TEST(SessionToken, TakesTheHigherMarkOfEachGroupWhenMerged)
{
    SessionToken token = sampleToken();
    SessionToken other;
    other.advance(first, {3, 50});
    other.advance(second, {1, 2});
    token.merge(other);
    CHECK(*token.demandedMark(first) == (LogMark{3, 50}));
    CHECK(*token.demandedMark(second) == (LogMark{1, 7}));
}

TEST(SessionToken, ForgetsNoWriteSilentlyWhenItIsFull)
{
    SessionToken token;
    for (std::size_t number = 0; number < SessionToken::maximumGroups + 5; ++number)
        token.advance(numberedGroup(number), {1, 9});
    LONGS_EQUAL(SessionToken::maximumGroups, token.groupCount());
    const auto decoded = SessionToken::decode(token.encode());
    CHECK(decoded.has_value());
    for (std::size_t number = 0; number < SessionToken::maximumGroups + 5; ++number) {
        const auto mark = decoded->demandedMark(numberedGroup(number));
        // Either the mark is there, or the read has to be served as Strong.
        CHECK(!mark || *mark == (LogMark{1, 9}));
    }
}

TEST(SessionToken, FitsItsBoundWhenItIsFull)
{
    SessionToken token;
    const std::string padding(SessionToken::maximumGroupNameLength - 2, 'g');
    for (std::size_t number = 10; number < 10 + SessionToken::maximumGroups; ++number)
        token.advance(GroupName(padding + std::to_string(number)), {~0ULL, ~0ULL});
    CHECK(token.encode().size() <= SessionToken::maximumEncodedLength);
    CHECK(SessionToken::decode(token.encode()).has_value());
}

TEST(SessionToken, RefusesEveryTextWithOneCharacterChanged)
{
    const std::string text = sampleToken().encode();
    for (std::size_t place = 0; place < text.size(); ++place) {
        std::string garbled = text;
        garbled[place] = garbled[place] == 'A' ? 'B' : 'A';
        CHECK(!SessionToken::decode(garbled).has_value());
    }
}

TEST(SessionToken, RefusesEveryShortenedText)
{
    const std::string text = sampleToken().encode();
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK(!SessionToken::decode(text.substr(0, length)).has_value());
}

TEST(SessionToken, RefusesForeignTexts)
{
    const std::string overlong(SessionToken::maximumEncodedLength + 1, 'A');
    const std::string texts[] = {"", "A", "AAAA", "not a token", std::string(40, '\0'), overlong};
    for (const std::string &text : texts)
        CHECK(!SessionToken::decode(text).has_value());
}

TEST(SessionToken, SurvivesArbitraryBytes)
{
    CHECK(Fakes::holds("arbitrary bytes never decode", {}, [](const std::string &bytes) {
        RC_ASSERT(!SessionToken::decode(bytes).has_value());
        RC_ASSERT(!SessionToken::decode(Session::encodeBase64Url(bytes)).has_value());
    }));
}

TEST(SessionToken, SurvivesArbitraryContentUnderAValidChecksum)
{
    CHECK(Fakes::holds("sealed content", {}, [](const std::string &content) {
        const auto token = SessionToken::decode(SessionToken::seal(content));
        if (!token)
            return;
        const auto again = SessionToken::decode(token->encode());
        RC_ASSERT(again.has_value());
        RC_ASSERT(*again == *token);
    }));
}

TEST(SessionToken, KeepsArbitraryMarks)
{
    using Write = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t>;
    const auto property = [](const std::vector<Write> &writes) {
        SessionToken token;
        for (const auto &[group, term, position] : writes)
            token.advance(numberedGroup(group), {term, position});
        const auto decoded = SessionToken::decode(token.encode());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == token);
    };
    CHECK(Fakes::holds("marks survive the text", {}, property));
}
