#include <Fleet/FleetView.h>
#include <Fleet/Records.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;

namespace {

StoredObject stored(const Record &record, Revision revision)
{
    return {keyOf(record), encode(record), revision, false};
}

PrimaryRecord primary(const char *database)
{
    PrimaryRecord record;
    record.group = Core::GroupName("g");
    record.database = Core::DatabaseName(database);
    return record;
}

} // namespace

TEST_GROUP(Records){};

TEST(Records, EveryKindOfRecordRoundTrips)
{
    MemberRecord member{Core::NodeName("n"), 7, Core::DataCentreName("dc"), "10.0.0.1:1", true, {}};
    member.adopted[Core::GroupName("g")] = 4;
    member.capacity = 250;
    const auto read = decode(keyOf(member), encode(member));
    CHECK(read.has_value());
    const auto &again = std::get<MemberRecord>(*read);
    CHECK(again.node == member.node && again.incarnation == 7 && again.isRetired);
    LONGS_EQUAL(4, again.adopted.at(Core::GroupName("g")));
    LONGS_EQUAL(250, again.capacity);
    CHECK(decode(leaderKey(), encode(LeaderRecord{Core::NodeName("n"), 1, 2})).has_value());
    PrimaryRecord replaced = primary("a");
    replaced.phase = PrimaryPhase::Replacing;
    replaced.replaces = 17;
    const auto readPrimary = decode(primaryKey(Core::GroupName("g")), encode(replaced));
    CHECK(readPrimary.has_value());
    LONGS_EQUAL(17, std::get<PrimaryRecord>(*readPrimary).replaces);
}

TEST(Records, InvalidRecordsAreRefused)
{
    const struct
    {
        const char *key;
        const char *text;
    } cases[] = {
        {"leader", ""},      {"leader", "{}"},
        {"member.n", "[]"},  {"primary.g", "{\"group\":1}"},
        {"elsewhere", "{}"}, {"member.n", "\xff"},
    };
    for (const auto &row : cases)
        CHECK_TEXT(!decode(row.key, row.text).has_value(), row.text);
}

TEST(Records, AnOlderRevisionNeverReplacesANewerOne)
{
    FleetView view;
    const StoredObject newer[] = {stored(primary("b"), 9)};
    const StoredObject older[] = {stored(primary("a"), 5)};
    (void)view.apply(newer);
    (void)view.apply(older);
    (void)view.replace(older, 1);
    STRCMP_EQUAL("b", view.findPrimary(Core::GroupName("g"))->record.database.value().c_str());
    CHECK(!view.mergePrimary({primary("a"), 9}));
    CHECK(view.mergePrimary({primary("a"), 10}));
}

TEST(Records, KeysOfUndecodableRecordsAreReturned)
{
    FleetView view;
    const StoredObject garbage[] = {{"member.n", "garbage", 3, false}};
    LONGS_EQUAL(1, view.apply(garbage).size());
    LONGS_EQUAL(0, view.members().size());
}

TEST(Records, EqualRecordsHaveEqualSumsWhateverTheirOrder)
{
    PrimaryRecord other = primary("b");
    other.group = Core::GroupName("h");
    FleetView one;
    FleetView two;
    const StoredObject first[] = {stored(primary("a"), 3), stored(other, 4)};
    const StoredObject second[] = {stored(other, 4), stored(primary("x"), 2),
                                   stored(primary("a"), 3)};
    one.apply(first);
    two.apply(second);
    CHECK(one.recordsSum() == two.recordsSum());
    const StoredObject newer[] = {stored(other, 5)};
    two.apply(newer);
    CHECK(one.recordsSum() != two.recordsSum());
}

/// While builds run side by side, the leader may be of the earlier one.
TEST(Records, FieldsOfALaterBuildSurviveARewrite)
{
    MemberRecord member{Core::NodeName("n"), 7, Core::DataCentreName("dc"), "n", false, {}};
    member.level = currentLevel + 1;
    std::string text = encode(member);
    text.insert(text.size() - 1, R"(,"later":{"a":[1,2]})");
    auto read = std::get<MemberRecord>(*decode(memberKey(member.node), text));
    LONGS_EQUAL(currentLevel + 1, read.level);
    read.isRetired = true;
    const auto again = std::get<MemberRecord>(*decode(memberKey(member.node), encode(read)));
    CHECK(again.isRetired && again.level == currentLevel + 1);
    STRCMP_EQUAL(R"({"a":[1,2]})", again.unknownFields.at("later").c_str());
}

/// A record of a build that publishes no level.
TEST(Records, MemberWithoutLevelIsOfTheBaseLevel)
{
    const char *text = R"({"node":"n","incarnation":7,"data_centre":"dc","address":"n",)"
                       R"("capacity":250,"retired":false,"adopted":{}})";
    const auto read = std::get<MemberRecord>(*decode("member.n", text));
    LONGS_EQUAL(baseLevel, read.level);
    LONGS_EQUAL(250, read.capacity);
}

TEST(Records, TheMembersVersionChangesOnlyWithMembersAndLeaders)
{
    FleetView view;
    const MemberRecord member{Core::NodeName("n"), 7, Core::DataCentreName("dc"), "n", false, {}};
    const StoredObject members[] = {stored(member, 3)};
    view.apply(members);
    const auto before = view.membersVersion();
    const StoredObject primaries[] = {stored(primary("a"), 4)};
    view.apply(primaries);
    view.apply(members);
    CHECK(view.membersVersion() == before);
    const StoredObject gone[] = {{memberKey(member.node), {}, 5, true}};
    view.apply(gone);
    CHECK(view.membersVersion() != before);
}
