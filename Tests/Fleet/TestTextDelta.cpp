#include <Core/Random.h>
#include <Fleet/ChangeHistory.h>
#include <Fleet/TextDelta.h>

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;

namespace {

/// A document like the operators' configuration.
std::string document(unsigned version, const std::vector<unsigned> &routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (const unsigned route : routes)
        text += "{\"name\":\"r-" + std::to_string(route)
            + "\",\"prefix\":\"/\",\"timeout\":800,\"labels\":{\"a\":1}},";
    return text + "]}";
}

std::vector<unsigned> numbers(unsigned count)
{
    std::vector<unsigned> result(count);
    std::iota(result.begin(), result.end(), 0U);
    return result;
}

} // namespace

TEST_GROUP(TextDelta){};

TEST(TextDelta, AChangedObjectIsSentAndTheRestCopied)
{
    auto routes = numbers(2'000);
    const std::string base = document(7, routes);
    routes[900] = 5'000;
    routes.erase(routes.begin() + 40);
    const std::string target = document(9, routes);
    const TextDelta delta = makeDelta(base, target);
    CHECK(delta.literalBytes() < 400);
    const auto result = applyDelta(base, delta);
    CHECK(result.has_value() && *result == target);
}

TEST(TextDelta, AnyTwoTextsRoundTrip)
{
    Core::Random random(3);
    const auto text = [&] {
        std::string result;
        for (std::uint64_t i = random.below(200); i > 0; --i)
            result += "{},ab\""[random.below(6)];
        return result;
    };
    for (int i = 0; i < 2'000; ++i) {
        const std::string base = text();
        const std::string target = text();
        const auto result = applyDelta(base, makeDelta(base, target));
        CHECK(result.has_value() && *result == target);
    }
}

TEST(TextDelta, AnotherBaseOrADamagedDeltaIsRefused)
{
    const std::string base = document(7, numbers(50));
    const std::string target = document(8, numbers(60));
    TextDelta delta = makeDelta(base, target);
    CHECK(!applyDelta(target, delta).has_value());
    CHECK(!applyDelta("", delta).has_value());
    TextDelta shifted = delta;
    shifted.pieces.front().offset = base.size() + 1;
    CHECK(!applyDelta(base, shifted).has_value());
    TextDelta longer = delta;
    longer.pieces.front().length = base.size() + 1;
    CHECK(!applyDelta(base, longer).has_value());
    delta.pieces.front().literal += "x";
    CHECK(!applyDelta(base, delta).has_value());
}

/// Each change of a configuration of 0.7 MB was sent whole to 300 proxies, which took two feeds of
/// a data centre 2 s.
TEST(TextDelta, AFeedSendsTheChangesToWhatAFollowerKnows)
{
    ChangeHistory history;
    const Core::Instant now(1'000);
    auto routes = numbers(3'000);
    const std::vector<StoredObject> first{{"main", document(1, routes), 5, false}};
    history.replace(first, 6, now);
    CHECK(!history.deltaSince(first.front(), 6));
    for (Revision revision = 10; revision < 15; ++revision) {
        routes[revision] = 9'000 + static_cast<unsigned>(revision);
        const std::vector<StoredObject> change{
            {"main", document(static_cast<unsigned>(revision), routes), revision, false}};
        history.apply(change, revision, now);
    }
    const StoredObject newest = history.changesSince(13).front();
    const auto fromLast = history.deltaSince(newest, 13);
    CHECK(fromLast && fromLast->literalBytes() < 1'000);
    CHECK(history.deltaSince(newest, 12) != nullptr);
    // The texts of before are not kept for ever.
    CHECK(!history.deltaSince(newest, 6));
    CHECK(!history.deltaSince({"small", "{}", 14, false}, 13));
}
