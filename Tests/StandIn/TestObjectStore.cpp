#include <StandIn/ObjectStore.h>
#include <StandIn/VmList.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Core::Literals;
using namespace Chervilpin::StandIn;
using Platform::Object;
using Platform::VersionConflict;

TEST_GROUP(ObjectStore)
{
    ObjectStore store;

    Platform::Version put(std::string key, std::string value, Platform::Version expected)
    {
        const auto written = store.put({std::move(key), std::move(value), expected});
        CHECK(written.has_value());
        const auto *object = std::get_if<Object>(&*written);
        return object ? object->version : 0;
    }
};

TEST(ObjectStore, UpdatesOnlyTheExpectedVersion)
{
    struct Row
    {
        std::string name;
        Platform::Version expected;
        bool isDelete;
        bool isWritten;
        Platform::Version version; ///< Afterwards, as the answer tells.
    };
    // In order, on one key.
    const std::vector<Row> rows{
        {"update of a missing object", 1, false, false, 0},
        {"delete of a missing object", 0, true, false, 0},
        {"creation", 0, false, true, 1},
        {"second creation", 0, false, false, 1},
        {"update", 1, false, true, 2},
        {"the same update, its answer lost", 1, false, false, 2},
        {"delete of an old version", 1, true, false, 2},
        {"delete", 2, true, true, 0},
        {"update after the delete", 2, false, false, 0},
        {"creation after the delete", 0, false, true, 4},
        {"update of the version before the delete", 2, false, false, 4},
    };
    for (const auto &row : rows) {
        const auto written = row.isDelete ? store.erase({"k", row.expected})
                                          : store.put({"k", row.name, row.expected});
        CHECK_TEXT(written.has_value(), row.name.c_str());
        const auto *object = std::get_if<Object>(&*written);
        CHECK_EQUAL_TEXT(row.isWritten, object != nullptr, row.name.c_str());
        const auto version =
            object ? object->version : std::get<VersionConflict>(*written).current.version;
        LONGS_EQUAL_TEXT(row.version, version, row.name.c_str());
    }
}

TEST(ObjectStore, RefusesBadKeysAndLongValues)
{
    struct Row
    {
        std::string key;
        std::size_t bytes;
        bool isAccepted;
    };
    const std::vector<Row> rows{
        {"", 1, false},
        {std::string(512, 'k'), 1, true},
        {std::string(513, 'k'), 1, false},
        {"k", ObjectStore::maximumValueBytes, true},
        {"l", ObjectStore::maximumValueBytes + 1, false},
    };
    for (const auto &row : rows)
        CHECK_EQUAL(row.isAccepted,
                    store.put({row.key, std::string(row.bytes, 'v'), 0}).has_value());
    LONGS_EQUAL(2, store.revision());
}

TEST(ObjectStore, WatchSeesChangesAndDeletionsSinceARevision)
{
    put("a/1", "v", 0);
    put("b/1", "v", 0);
    put("a/2", "v", 0);
    CHECK(store.erase({"a/1", 1}).has_value());
    const auto changes = store.changesSince("a/", 1);
    LONGS_EQUAL(4, changes.revision);
    LONGS_EQUAL(2, changes.objects.size());
    STRCMP_EQUAL("a/1", changes.objects[0].key.c_str());
    LONGS_EQUAL(0, changes.objects[0].version);
    STRCMP_EQUAL("a/2", changes.objects[1].key.c_str());
    CHECK(store.changesSince("a/", changes.revision).objects.empty());
}

TEST(ObjectStore, ShowsOlderStates)
{
    put("a/1", "first", 0);
    put("a/1", "second", 1);
    put("a/2", "other", 0);
    CHECK(store.erase({"a/1", 2}).has_value());
    struct Row
    {
        std::size_t back;
        std::string value;
        std::size_t listed;
    };
    for (const auto &row : {Row{0, "", 1}, Row{1, "second", 2}, Row{2, "second", 1},
                            Row{3, "first", 1}, Row{4, "", 0}, Row{99, "", 0}}) {
        STRCMP_EQUAL(row.value.c_str(), store.get("a/1", row.back).value.c_str());
        LONGS_EQUAL(row.listed, store.list("a/", row.back).objects.size());
    }
}

TEST(ObjectStore, ListIsByKeyAndPrefix)
{
    put("b", "v", 0);
    put("a/2", "v", 0);
    put("a/1", "v", 0);
    put("aa", "v", 0);
    const auto listed = store.list("a/").objects;
    LONGS_EQUAL(2, listed.size());
    STRCMP_EQUAL("a/1", listed[0].key.c_str());
    STRCMP_EQUAL("a/2", listed[1].key.c_str());
}

TEST(ObjectStore, VersionsGoOnAfterAWipe)
{
    put("k", "v", 0);
    store.wipe();
    LONGS_EQUAL(0, store.get("k").version);
    LONGS_EQUAL(3, put("k", "v", 0));
}

TEST(ObjectStore, JournalBringsEverythingBack)
{
    ObjectStore first(ObjectStore::Journal::On);
    CHECK(first.put({"k", "v", 0}).has_value());
    CHECK(first.put({"deleted", "v", 0}).has_value());
    CHECK(first.erase({"deleted", 1}).has_value());
    for (const auto &change : first.takeJournal())
        store.restore(change);
    CHECK(first.takeJournal().empty());
    LONGS_EQUAL(3, store.revision());
    STRCMP_EQUAL("v", store.get("k").value.c_str());
    LONGS_EQUAL(3, put("deleted", "again", 0));
    LONGS_EQUAL(1, store.changesSince("", 3).objects.size());
}

TEST(ObjectStore, VmListLags)
{
    VmList vms(200_ms);
    vms.put({Core::NodeName("n"), Core::DataCentreName("dc"), "127.0.0.1:1", false},
            Core::Instant(0));
    vms.erase(Core::NodeName("n"), Core::Instant(100));
    struct Row
    {
        std::int64_t at;
        std::size_t listed;
    };
    for (const auto &row : {Row{199, 0}, Row{200, 1}, Row{299, 1}, Row{300, 0}})
        LONGS_EQUAL(row.listed, vms.list(Core::Instant(row.at)).vms.size());
}
