#include <Fleet/RelayLog.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;

namespace {

StoredText object(const char *key, Revision revision)
{
    return {key, "text", revision, false};
}

StoredText deleted(const std::string &key, Revision revision)
{
    return {key, {}, revision, true};
}

} // namespace

TEST_GROUP(RelayLog)
{
    RelayLog log;
    Core::Instant now{10'000};

    void list(const std::vector<StoredText> &objects, Revision revision)
    {
        log.replace(objects, revision, now);
    }

    void apply(const std::vector<StoredText> &objects, Revision revision)
    {
        log.apply(objects, revision, now);
    }
};

TEST(RelayLog, TellsWhatChangedSinceARevisionWithDeletions)
{
    list({object("a", 3), object("b", 4)}, 10);
    apply({object("c", 11), deleted("a", 12)}, 12);
    LONGS_EQUAL(2, log.changesSince(10).size());
    LONGS_EQUAL(1, log.changesSince(11).size());
    CHECK(log.changesSince(11).front().isDeleted);
    LONGS_EQUAL(2, log.all().size());
    LONGS_EQUAL(12, log.revision());
}

TEST(RelayLog, WhatAListLacksWasDeleted)
{
    list({object("a", 3), object("b", 4)}, 10);
    list({object("b", 4)}, 20);
    const auto changes = log.changesSince(10);
    LONGS_EQUAL(1, changes.size());
    STRCMP_EQUAL("a", changes.front().key.c_str());
    CHECK(changes.front().isDeleted);
}

TEST(RelayLog, AnOlderListOrChangeBringsNothingBack)
{
    list({object("a", 3)}, 10);
    apply({deleted("a", 12)}, 12);
    list({object("a", 3)}, 11);
    apply({object("a", 3)}, 11);
    CHECK(log.all().empty());
    LONGS_EQUAL(12, log.revision());
}

TEST(RelayLog, ReachesBackToItsFirstListAndNotBeforeForgottenDeletions)
{
    list({}, 10);
    CHECK(log.reaches(10));
    CHECK(!log.reaches(9));
    for (Revision revision = 11; revision < 1'200; ++revision)
        apply({deleted("n" + std::to_string(revision), revision)}, revision);
    CHECK(!log.reaches(10));
    CHECK(log.reaches(1'199));
    CHECK(log.changesSince(0).size() <= 1'000);
}

TEST(RelayLog, AnObjectThatCameBackIsNoDeletionAnyMore)
{
    list({object("a", 3)}, 10);
    apply({deleted("a", 12)}, 12);
    apply({object("a", 13)}, 13);
    LONGS_EQUAL(1, log.all().size());
    CHECK(!log.changesSince(11).front().isDeleted);
}
