#include <Fleet/ChangeHistory.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;

namespace {

StoredObject object(const char *key, Revision revision)
{
    return {key, "text", revision, false};
}

StoredObject deleted(const std::string &key, Revision revision)
{
    return {key, {}, revision, true};
}

} // namespace

TEST_GROUP(ChangeHistory)
{
    ChangeHistory history;
    Core::Instant now{10'000};

    void list(const std::vector<StoredObject> &objects, Revision revision)
    {
        history.replace(objects, revision, now);
    }

    void apply(const std::vector<StoredObject> &objects, Revision revision)
    {
        history.apply(objects, revision, now);
    }
};

TEST(ChangeHistory, ReturnsTheChangesSinceARevisionWithDeletions)
{
    list({object("a", 3), object("b", 4)}, 10);
    apply({object("c", 11), deleted("a", 12)}, 12);
    LONGS_EQUAL(2, history.changesSince(10).size());
    LONGS_EQUAL(1, history.changesSince(11).size());
    CHECK(history.changesSince(11).front().isDeleted);
    LONGS_EQUAL(2, history.liveObjects().size());
    LONGS_EQUAL(12, history.revision());
}

TEST(ChangeHistory, ObjectsMissingFromAListAreDeleted)
{
    list({object("a", 3), object("b", 4)}, 10);
    list({object("b", 4)}, 20);
    const auto changes = history.changesSince(10);
    LONGS_EQUAL(1, changes.size());
    STRCMP_EQUAL("a", changes.front().key.c_str());
    CHECK(changes.front().isDeleted);
}

TEST(ChangeHistory, AnOlderListOrChangeIsIgnored)
{
    list({object("a", 3)}, 10);
    apply({deleted("a", 12)}, 12);
    list({object("a", 3)}, 11);
    apply({object("a", 3)}, 11);
    CHECK(history.liveObjects().empty());
    LONGS_EQUAL(12, history.revision());
}

TEST(ChangeHistory, CoversRevisionsSinceItsFirstListAndItsPrunedDeletions)
{
    list({}, 10);
    CHECK(history.covers(10));
    CHECK(!history.covers(9));
    for (Revision revision = 11; revision < 1'200; ++revision)
        apply({deleted("n" + std::to_string(revision), revision)}, revision);
    CHECK(!history.covers(10));
    CHECK(history.covers(1'199));
    CHECK(history.changesSince(0).size() <= 1'000);
}

TEST(ChangeHistory, ARecreatedObjectIsNotDeleted)
{
    list({object("a", 3)}, 10);
    apply({deleted("a", 12)}, 12);
    apply({object("a", 13)}, 13);
    LONGS_EQUAL(1, history.liveObjects().size());
    CHECK(!history.changesSince(11).front().isDeleted);
}
