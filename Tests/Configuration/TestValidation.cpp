#include <Configuration/Credential.h>
#include <Configuration/LogCodec.h>
#include <Configuration/Proposal.h>
#include <Configuration/ResourceCodec.h>

#include <CppUTest/TestHarness.h>

#include <boost/json/serialize.hpp>

using namespace Chervilpin::Configuration;
namespace json = boost::json;

namespace {

constexpr const char *salt = "00112233445566778899aabbccddeeff";
const std::string digest(64, 'a');

const std::string half = R"({"kind":"Half","name":"h","spec":{"caller_endpoint":"http://x"}})";
const std::string team =
    R"({"kind":"Team","name":"t","spec":{"half":"h","rate_per_second":10,"burst":20}})";
const std::string group = R"({"kind":"UpstreamGroup","name":"g","spec":{"half":"h","slots":5,
    "max_connections":30,"databases":[{"name":"d1","address":"10.0.0.1:5432","data_centre":"a"}]}})";

/// What is wrong with a change of these resources on top of nothing.
FieldErrors errorsOf(const std::vector<std::string> &texts)
{
    Proposal proposal;
    FieldErrors errors;
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const auto document = parseDocument(texts[i]);
        if (!document)
            return document.error();
        proposal.items.push_back(
            readResourceChange(*document, "changes[" + std::to_string(i) + "]", errors));
    }
    if (!errors.empty())
        return errors;
    return checkProposal(proposal, *Snapshot::empty(), Capacity(), Guards()).errors;
}

std::string teamWith(const std::string &fields)
{
    return R"({"kind":"Team","name":"t","spec":{"half":"h",)" + fields + "}}";
}

std::string groupWith(const std::string &name, const std::string &fields)
{
    return R"({"kind":"UpstreamGroup","name":")" + name + R"(","spec":{"half":"h",)" + fields
        + "}}";
}

std::string database(const std::string &name, const std::string &address)
{
    return R"({"name":")" + name + R"(","address":")" + address + R"(","data_centre":"a"})";
}

const std::string sizes = R"("slots":5,"max_connections":30,)";

} // namespace

TEST_GROUP(Validation){};

TEST(Validation, SoundConfigurationsPass)
{
    const std::string key = R"({"kind":"Key","name":"k","spec":{"team":"t","salt":")"
        + std::string(salt) + R"(","digest":")" + digest + R"("}})";
    const std::string route = R"({"kind":"Route","name":"r","spec":{"group":"g","teams":["t"]}})";
    CHECK(errorsOf({half, team, group, key, route}).empty());
}

TEST(Validation, EachFaultNamesItsFieldAndARemedy)
{
    struct Row
    {
        std::vector<std::string> resources;
        const char *path;
        const char *problem; ///< A part of it.
    };
    const std::string two = database("d1", "10.0.0.1:1") + "," + database("d1", "10.0.0.2:1");
    const std::string sameAddress =
        database("d1", "10.0.0.1:1") + "," + database("d2", "10.0.0.1:1");
    const std::string leaving =
        R"({"name":"d","address":"10.0.0.1:1","data_centre":"a","is_leaving":true})";
    const Row rows[] = {
        {{"{"}, "", "JSON"},
        {{"[]"}, "changes[0]", "object"},
        {{std::string(20, '[') + std::string(20, ']')}, "", "JSON"},
        {{R"({"kind":"Tean","name":"t","spec":{}})"}, "changes[0].kind", "known kind"},
        {{R"({"name":"t","spec":{}})"}, "changes[0].kind", "missing"},
        {{R"({"kind":"Team","name":"T_1","spec":{}})"}, "changes[0].name", "not a name"},
        {{R"({"kind":"Team","name":"t"})"}, "changes[0].spec", "missing"},
        {{R"({"kind":"Team","name":"t","spec":{},"extra":1})"}, "changes[0].extra", "known field"},
        {{R"({"kind":"Team","name":"t","action":"drop","spec":{}})"}, "changes[0].action", "put"},
        {{half, teamWith(R"("rate_per_second":10)")}, "Team/t.spec.burst", "missing"},
        {{half, teamWith(R"("rate_per_second":10,"burst":0)")}, "Team/t.spec.burst", "from 1"},
        {{half, teamWith(R"("rate_per_second":10,"burst":-1)")}, "Team/t.spec.burst", "whole"},
        {{half, teamWith(R"("rate_per_second":"10","burst":1)")},
         "Team/t.spec.rate_per_second",
         "whole"},
        {{half, teamWith(R"("rate_per_second":10,"burst":1,"brust":2)")},
         "Team/t.spec.brust",
         "known field"},
        {{half, teamWith(R"("rate_per_second":10,"burst":2000000)")},
         "Team/t.spec.burst",
         "capacity"},
        {{half, teamWith(R"("rate_per_second":2000000,"burst":1)")},
         "Team.spec.rate_per_second",
         "beyond the capacity"},
        {{team}, "Team/t.spec.half", "Half/h, which doesn't exist"},
        {{half, R"({"kind":"Route","name":"r","spec":{"group":"g"}})"},
         "Route/r.spec.group",
         "doesn't exist"},
        {{half, team, group, R"({"kind":"Route","name":"r","spec":{"group":"g","teams":["u"]}})"},
         "Route/r.spec.teams[0]",
         "doesn't exist"},
        {{half, team, group,
          R"({"kind":"Route","name":"r","spec":{"group":"g","teams":["t","t"]}})"},
         "Route/r.spec.teams[1]",
         "twice"},
        {{half, team, group,
          R"({"kind":"Route","name":"r","spec":{"group":"g","teams":["t"],"is_open_to_all":true}})"},
         "Route/r.spec.teams",
         "open to all"},
        {{R"({"kind":"Key","name":"k","spec":{"team":"t","salt":"zz","digest":"aa"}})"},
         "Key/k.spec.salt",
         "hexadecimal"},
        {{R"({"kind":"Key","name":"k","spec":{"team":"t","salt":"00112233445566778899","digest":"a"}})"},
         "Key/k.spec.digest",
         "64"},
        {{half, groupWith("g", sizes + R"("databases":[)" + two + "]")},
         "UpstreamGroup/g.spec.databases[1].name",
         "also in UpstreamGroup/g"},
        {{half, groupWith("g", sizes + R"("databases":[)" + sameAddress + "]")},
         "UpstreamGroup/g.spec.databases[1].address",
         "also in"},
        {{half, group,
          groupWith("h", sizes + R"("databases":[)" + database("d1", "10.0.0.9:1") + "]")},
         "UpstreamGroup/h.spec.databases[0].name",
         "also in UpstreamGroup/g"},
        {{half, groupWith("g", sizes + R"("databases":[)" + database("d", "localhost:1") + "]")},
         "UpstreamGroup/g.spec.databases[0].address",
         "IP number"},
        {{half, groupWith("g", sizes + R"("databases":[)" + database("d", "10.0.0.1:70000") + "]")},
         "UpstreamGroup/g.spec.databases[0].address",
         "port"},
        {{half, groupWith("g", sizes + R"("databases":[])")},
         "UpstreamGroup/g.spec.databases",
         "empty"},
        {{half, groupWith("g", sizes + R"("databases":[)" + leaving + "]")},
         "UpstreamGroup/g.spec.databases",
         "all leaving"},
        {{half,
          groupWith("g",
                    R"("slots":31,"max_connections":30,"databases":[)" + database("d", "10.0.0.1:1")
                        + "]")},
         "UpstreamGroup/g.spec.slots",
         "max_connections"},
        {{R"({"kind":"Half","name":"h","spec":{"caller_endpoint":"x","capacity_per_second":5}})",
          team},
         "Half/h.spec.capacity_per_second",
         "sum of its teams' rates"},
        {{half, R"({"kind":"Half","name":"i","spec":{"caller_endpoint":"http://x"}})"},
         "Half/i.spec.caller_endpoint",
         "also that of Half/h"},
        {{half, half}, "Half/h", "twice"},
        {{R"({"action":"delete","kind":"Half","name":"h"})"}, "Half/h", "doesn't exist"},
    };
    for (const Row &row : rows) {
        const FieldErrors errors = errorsOf(row.resources);
        const std::string label = std::string(row.path) + " " + row.problem;
        CHECK_TEXT(!errors.empty(), label.c_str());
        if (errors.empty())
            continue;
        STRCMP_EQUAL_TEXT(row.path, errors.front().path.c_str(), label.c_str());
        STRCMP_CONTAINS_TEXT(row.problem, errors.front().problem.c_str(), label.c_str());
        CHECK_TEXT(!errors.front().remedy.empty(), label.c_str());
    }
}

TEST(Validation, SeveralFaultsAreFoundAtOnce)
{
    LONGS_EQUAL(2, errorsOf({half, teamWith(R"("rate_per_second":0,"burst":0)")}).size());
}

TEST(Validation, TextsOfTheLogAreReadBackUnchanged)
{
    FieldErrors errors;
    Change change{4, 0xfedcba9876543210ULL, "n", "o", {}};
    for (const std::string &text : {half, team, group})
        change.items.push_back(readResourceChange(*parseDocument(text), "", errors));
    change.items.front().expectedVersion = 3;
    change.items.push_back({ChangeAction::Delete, {Kind::Key, "k"}, std::nullopt, 2});
    CHECK(errors.empty());
    const std::string text = encodeChange(change);
    const auto decoded = decodeChange(text);
    CHECK(decoded.has_value());
    CHECK(decoded->change == change);
    STRCMP_EQUAL(text.c_str(), encodeChange(decoded->change).c_str());

    change.revision = 1;
    const auto snapshot = Snapshot::empty()->after(change, 77);
    const auto again = decodeSnapshot(encodeSnapshot(*snapshot));
    CHECK(again.has_value());
    CHECK((*again)->contents() == snapshot->contents());
}

TEST(Validation, CredentialsMatchOnlyTheirOwnSecret)
{
    const auto made = credentialDigest(salt, "secret");
    CHECK(made.has_value());
    CHECK(matchesDigest(salt, *made, "secret"));
    CHECK(!matchesDigest(salt, *made, "Secret"));
    CHECK(!matchesDigest("00112233445566778899aabbccddee00", *made, "secret"));
    CHECK(!matchesDigest("xyz", *made, "secret"));
    const auto parsed = parseCredential(keyPrefix, "cvp_my-key_se_cret");
    CHECK(parsed.has_value());
    CHECK(parsed->name == "my-key");
    CHECK(parsed->secret == "se_cret");
    for (const char *wrong : {"", "cvp_", "cvp_x", "cvp__x", "cvp_x_", "cvo_x_y"})
        CHECK_TEXT(!parseCredential(keyPrefix, wrong), wrong);
}

TEST(Validation, ARouteServesItsTeams)
{
    FieldErrors errors;
    Change change{1, 0, "n", "o", {}};
    const std::string otherHalf =
        R"({"kind":"Half","name":"i","spec":{"caller_endpoint":"http://y"}})";
    const std::string stranger =
        R"({"kind":"Team","name":"s","spec":{"half":"i","rate_per_second":1,"burst":1}})";
    for (const std::string &text : {half, otherHalf, team, stranger, group})
        change.items.push_back(readResourceChange(*parseDocument(text), "", errors));
    const auto snapshot = Snapshot::empty()->after(change, 1);
    const Chervilpin::Core::GroupName groupName("g");
    const Chervilpin::Core::TeamName own("t");
    const Chervilpin::Core::TeamName other("s");
    CHECK(snapshot->mayUse({groupName, false, {}}, own));
    CHECK(!snapshot->mayUse({groupName, false, {}}, other));
    CHECK(snapshot->mayUse({groupName, false, {other}}, other));
    CHECK(!snapshot->mayUse({groupName, false, {other}}, own));
    CHECK(snapshot->mayUse({groupName, true, {}}, other));
}
