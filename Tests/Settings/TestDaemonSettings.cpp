#include <Settings/DaemonSettings.h>

#include <CppUTest/TestHarness.h>
#include <string>

using namespace Chervilpin::Settings;

namespace {

const std::string goodText = R"([node]
name = "n1"
data_centre = "a"
[listen]
callers = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
[platform]
address = "127.0.0.1:7000"
[operators]
credential_salt = "00ff"
credential_sha256 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
[[peer]]
name = "n2"
data_centre = "b"
address = "127.0.0.1:7013"
)";

} // namespace

TEST_GROUP(DaemonSettings){};

TEST(DaemonSettings, AWholeFileIsRead)
{
    const auto settings = parseSettings(goodText, "f");
    CHECK(settings.has_value());
    STRCMP_EQUAL("n1", settings->node.name.value().c_str());
    STRCMP_EQUAL("127.0.0.1:7003", settings->node.peerAddress.c_str());
    LONGS_EQUAL(1, settings->node.seedPeers.size());
}

TEST(DaemonSettings, EachProblemNamesFileLineAndField)
{
    struct Row
    {
        const char *replaced;
        const char *by;
        const char *problem;
    };
    const Row rows[] = {
        {"name = \"n1\"", "", "f:1: node.name: is missing"},
        {"name = \"n1\"", "name = 7", "f:2: node.name: must be a string"},
        {"name = \"n1\"", "name = \"n1\"\ncolour = 1", "f:3: node.colour: is not known"},
        {"127.0.0.1:7001", "localhost:1", "f:5: listen.callers: 'localhost' is not an IP number"},
        {"127.0.0.1:7001", "127.0.0.1:99999", "f:5: listen.callers: '99999' is not a port number"},
        {"127.0.0.1:7001", "nothing", "f:5: listen.callers: 'nothing' is not of the form IP:port"},
        {"0123456789abcdef0", "XYZ",
         "f:12: operators.credential_sha256: must be 64 lower-case "
         "hexadecimal digits"},
        {"00ff", "00f",
         "f:11: operators.credential_salt: must be lower-case hexadecimal digits, two "
         "to a byte"},
        {"[platform]\n", "[platfrom]\n", "f:1: platform: is missing"},
        {"[[peer]]", "[peer]", "f:13: peer: must be written as [[peer]] tables"},
        {"[platform]", "[log]\nlevel = \"loud\"\n[platform]",
         "f:9: log.level: 'loud' is not a log level; use debug, info, warning or error"},
        {"[listen]", "drain_deadline_ms = -1\n[listen]",
         "f:4: node.drain_deadline_ms: must be a whole number from 0 to 600000"},
        {"[listen]", "[listen", "f:4: (file): "},
    };
    for (const Row &row : rows) {
        std::string text = goodText;
        text.replace(text.find(row.replaced), std::string(row.replaced).size(), row.by);
        const auto settings = parseSettings(text, "f");
        CHECK_TEXT(!settings.has_value(), row.problem);
        const std::string expected = row.problem;
        const std::string first = settings.error().front().toString();
        STRCMP_EQUAL(expected.c_str(), first.substr(0, expected.size()).c_str());
    }
}

TEST(DaemonSettings, AllProblemsAreReportedAtOnce)
{
    const auto settings = parseSettings("[node]\n[listen]\n", "f");
    CHECK(!settings.has_value());
    CHECK(settings.error().size() >= 7);
}
