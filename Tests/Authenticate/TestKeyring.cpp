#include <Authenticate/KeyMaker.h>
#include <Authenticate/Keyring.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Chervilpin;
using namespace Chervilpin::Authenticate;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(500'000);

MadeKey made(const char *team, std::uint8_t fill)
{
    const std::vector<std::uint8_t> entropy(KeyMaker::entropyBytes, fill);
    return *KeyMaker::make(Core::TeamName(team), entropy);
}

struct Fixture
{
    Fixture()
    {
        set({clerksOld.record, clerksNew.record, brokers.record});
        keyring.confirmContact(start);
    }

    std::vector<KeyId> set(std::vector<KeyRecord> records) { return keyring.replace(records); }

    MadeKey clerksOld = made("clerks", 1);
    MadeKey clerksNew = made("clerks", 2);
    MadeKey brokers = made("brokers", 3);
    Keyring keyring;
};

} // namespace

TEST_GROUP(Keyring){};

TEST(Keyring, OnlyWholeValidKeysAreAuthenticated)
{
    Fixture fixture;
    KeyRecord withdrawn = fixture.brokers.record;
    withdrawn.state = KeyState::Withdrawn;
    fixture.set({fixture.clerksOld.record, fixture.clerksNew.record, withdrawn});
    const std::string valid = fixture.clerksOld.text;
    const struct
    {
        const char *name;
        std::string text;
        const char *team; ///< Null: refused.
    } cases[] = {
        {"old key", valid, "clerks"},
        {"new key of the same team", fixture.clerksNew.text, "clerks"},
        {"withdrawn", fixture.brokers.text, nullptr},
        {"empty", "", nullptr},
        {"no prefix", valid.substr(4), nullptr},
        {"cut short", valid.substr(0, valid.size() - 1), nullptr},
        {"with more", valid + "0", nullptr},
        {"no secret", valid.substr(0, valid.rfind('_') + 1), nullptr},
        {"id of one, secret of another",
         "cvp_" + fixture.clerksOld.record.id.value()
             + fixture.clerksNew.text.substr(fixture.clerksNew.text.rfind('_')),
         nullptr},
        {"unknown id", made("clerks", 9).text, nullptr},
        {"upper case", "CVP_" + valid.substr(4), nullptr},
        {"a huge text", "cvp_a_" + std::string(100'000, 'a'), nullptr},
        {"the record's digest instead of the secret",
         "cvp_" + fixture.clerksOld.record.id.value() + "_" + fixture.clerksOld.record.salt,
         nullptr},
    };
    for (const auto &one : cases) {
        const auto result = fixture.keyring.authenticate(one.text, start);
        CHECK_EQUAL_TEXT(one.team != nullptr, result.has_value(), one.name);
        if (result.has_value())
            STRCMP_EQUAL_TEXT(one.team, result->team.value().c_str(), one.name);
        else
            CHECK_TEXT(result.error().code == Core::ErrorCode::Unauthenticated, one.name);
    }
}

TEST(Keyring, ErrorsNeverHoldTheKey)
{
    Fixture fixture;
    const std::string wrong = fixture.clerksOld.text + "0";
    const auto result = fixture.keyring.authenticate(wrong, start);
    CHECK(result.error().message.find(wrong.substr(4, 8)) == std::string::npos);
}

TEST(Keyring, ReplacingTellsWhichKeysStopped)
{
    Fixture fixture;
    KeyRecord changed = fixture.clerksNew.record;
    changed.digest = fixture.brokers.record.digest;
    KeyRecord moved = fixture.brokers.record;
    moved.team = Core::TeamName("clerks");
    KeyRecord withdrawn = fixture.brokers.record;
    withdrawn.state = KeyState::Withdrawn;
    const auto &a = fixture.clerksOld.record;
    const auto &b = fixture.clerksNew.record;
    const auto &c = fixture.brokers.record;
    const struct
    {
        const char *name;
        std::vector<KeyRecord> next;
        std::vector<KeyId> stopped;
    } cases[] = {
        {"the same", {a, b, c}, {}},
        {"one more", {a, b, c, made("x", 7).record}, {}},
        {"one removed", {a, b}, {c.id}},
        {"one withdrawn", {a, b, withdrawn}, {c.id}},
        {"one with another digest", {a, changed, c}, {b.id}},
        {"one with another team", {a, b, moved}, {c.id}},
        {"none left", {}, {a.id, b.id, c.id}},
    };
    for (const auto &one : cases) {
        Fixture fresh;
        auto stopped = fresh.set(one.next);
        auto expected = one.stopped;
        std::sort(expected.begin(), expected.end());
        CHECK_TEXT(stopped == expected, one.name);
    }
}

TEST(Keyring, AnIsolatedNodeServesKnownKeysForTheLimitOnly)
{
    const struct
    {
        const char *name;
        bool isGuardOn;
        Core::Duration contactAt; ///< A second contact.
        Core::Duration at;
        bool isServed;
    } cases[] = {
        {"in touch", true, 0_ms, 1_s, true},
        {"at the limit", true, 0_ms, 60_s, true},
        {"past the limit", true, 0_ms, 60'001_ms, false},
        {"in touch again meanwhile", true, 30_s, 60'001_ms, true},
        {"past the limit, guard off", false, 0_ms, 600_s, true},
    };
    for (const auto &one : cases) {
        KeyringOptions options;
        options.isIsolationBounded = one.isGuardOn;
        Keyring keyring(options);
        const MadeKey key = made("clerks", 1);
        keyring.replace({&key.record, 1});
        keyring.confirmContact(start);
        keyring.confirmContact(start + one.contactAt);
        const auto result = keyring.authenticate(key.text, start + one.at);
        CHECK_EQUAL_TEXT(one.isServed, result.has_value(), one.name);
        CHECK_EQUAL_TEXT(one.isServed, keyring.isServed(key.record.id, start + one.at), one.name);
        if (!one.isServed)
            CHECK_TEXT(result.error().code == Core::ErrorCode::Unavailable, one.name);
    }
}

TEST(Keyring, AKeySetAloneProvesNoContact)
{
    Fixture fixture;
    const Core::Instant late = start + 120_s;
    fixture.set({fixture.clerksOld.record});
    CHECK(fixture.keyring.isIsolated(late));
    fixture.keyring.confirmContact(late);
    // An older proof that comes late takes nothing back.
    fixture.keyring.confirmContact(start);
    CHECK(!fixture.keyring.isIsolated(late));
}

TEST(Keyring, MadeKeysNeedAllTheirEntropyAndDiffer)
{
    const std::vector<std::uint8_t> tooFew(KeyMaker::entropyBytes - 1, 0);
    CHECK(!KeyMaker::make(Core::TeamName("a"), tooFew).has_value());
    const MadeKey a = made("a", 1);
    const MadeKey b = made("a", 2);
    CHECK(a.text != b.text);
    CHECK(!isSameDigest(a.record.digest, b.record.digest));
    const std::string secret = a.text.substr(a.text.rfind('_') + 1);
    CHECK(a.record.salt != secret && a.record.id.value() != secret);
}
