#include <Settings/DaemonSettings.h>

#include <Http/Server.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace Chervilpin::Settings {

namespace {

using Problems = std::vector<SettingsProblem>;

constexpr std::int64_t maximumDrainMilliseconds = 600'000;
constexpr std::int64_t maximumSampleRatio = 1'000'000;
constexpr std::int64_t maximumConnectionSetting = 1'000'000;
constexpr std::size_t digestDigits = 64;
constexpr std::string_view hexDigits = "0123456789abcdef";

/// Reads values out of one table, and remembers what was asked for, to find unknown names.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string path, const std::string &file,
                Problems &problems)
        : table_(table)
        , path_(std::move(path))
        , file_(file)
        , problems_(problems)
    { }

    std::string text(std::string_view key, std::string fallback)
    {
        const toml::node *node = find(key);
        if (!node)
            return fallback;
        if (const auto value = node->value_exact<std::string>())
            return *value;
        report(node, key, "must be a string");
        return fallback;
    }

    std::string requiredText(std::string_view key)
    {
        if (!table_.contains(key))
            report(nullptr, key, "is missing");
        std::string value = text(key, "");
        if (table_.contains(key) && value.empty())
            report(find(key), key, "must not be empty");
        return value;
    }

    std::int64_t number(std::string_view key, std::int64_t fallback, std::int64_t lowest,
                        std::int64_t highest)
    {
        const toml::node *node = find(key);
        if (!node)
            return fallback;
        const auto value = node->value_exact<std::int64_t>();
        if (value && *value >= lowest && *value <= highest)
            return *value;
        report(node, key,
               "must be a whole number from " + std::to_string(lowest) + " to "
                   + std::to_string(highest));
        return fallback;
    }

    std::string address(std::string_view key)
    {
        std::string value = requiredText(key);
        if (value.empty())
            return value;
        const auto endpoint = Http::parseEndpoint(value);
        if (!endpoint)
            report(find(key), key, endpoint.error().message);
        return value;
    }

    void report(const toml::node *node, std::string_view key, std::string message)
    {
        const std::size_t line = node ? node->source().begin.line : table_.source().begin.line;
        const std::string field = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
        problems_.push_back({file_, line, field, std::move(message)});
    }

    const toml::node *find(std::string_view key)
    {
        asked_.insert(std::string(key));
        return table_.get(key);
    }

    /// Reports every name that nobody asked for; a misspelt setting must not pass for absent.
    void reportUnknown()
    {
        for (const auto &[key, node] : table_) {
            if (!asked_.contains(std::string(key.str())))
                report(&node, key.str(), "is not known");
        }
    }

private:
    const toml::table &table_;
    std::string path_;
    const std::string &file_;
    Problems &problems_;
    std::set<std::string> asked_;
};

using SectionReader = void (*)(TableReader &, DaemonSettings &);

void readNode(TableReader &reader, DaemonSettings &settings)
{
    auto &node = settings.node;
    node.name = Core::NodeName(reader.requiredText("name"));
    node.dataCentre = Core::DataCentreName(reader.requiredText("data_centre"));
    node.half = Core::HalfName(reader.text("half", ""));
    node.drainDeadline = Core::Duration(reader.number(
        "drain_deadline_ms", node.drainDeadline.milliseconds(), 0, maximumDrainMilliseconds));
    node.lameDuck = Core::Duration(
        reader.number("lame_duck_ms", node.lameDuck.milliseconds(), 0, maximumDrainMilliseconds));
}

void readListen(TableReader &reader, DaemonSettings &settings)
{
    settings.callerListen = reader.address("callers");
    settings.adminListen = reader.address("admin");
    settings.peerListen = reader.address("peers");
    settings.maximumConnections = static_cast<std::size_t>(
        reader.number("maximum_connections", static_cast<std::int64_t>(settings.maximumConnections),
                      1, maximumConnectionSetting));
}

void readPlatform(TableReader &reader, DaemonSettings &settings)
{
    settings.platformAddress = reader.address("address");
}

void readOperators(TableReader &reader, DaemonSettings &settings)
{
    settings.node.operatorSalt = reader.requiredText("credential_salt");
    const auto &salt = settings.node.operatorSalt;
    if (salt.size() % 2 != 0 || salt.find_first_not_of(hexDigits) != std::string::npos)
        reader.report(reader.find("credential_salt"), "credential_salt",
                      "must be lower-case hexadecimal digits, two to a byte");
    settings.node.operatorDigest = reader.requiredText("credential_sha256");
    const auto &digest = settings.node.operatorDigest;
    const bool isDigest =
        digest.size() == digestDigits && digest.find_first_not_of(hexDigits) == std::string::npos;
    if (!digest.empty() && !isDigest)
        reader.report(reader.find("credential_sha256"), "credential_sha256",
                      "must be 64 lower-case hexadecimal digits");
}

void readLog(TableReader &reader, DaemonSettings &settings)
{
    const auto level = Observe::parseSeverity(reader.text("level", "info"));
    if (level)
        settings.logLevel = *level;
    else
        reader.report(reader.find("level"), "level", level.error().message);
}

void readTrace(TableReader &reader, DaemonSettings &settings)
{
    settings.spanFile = reader.text("file", "");
    auto &ratio = settings.node.traceSampleOneIn;
    ratio = static_cast<std::uint64_t>(
        reader.number("sample_one_in", static_cast<std::int64_t>(ratio), 1, maximumSampleRatio));
}

enum class Presence {
    Required,
    Optional,
};

struct Section
{
    std::string_view name;
    Presence presence;
    SectionReader read;
};

constexpr std::array<Section, 6> sections{{
    {"node", Presence::Required, readNode},
    {"listen", Presence::Required, readListen},
    {"platform", Presence::Required, readPlatform},
    {"operators", Presence::Required, readOperators},
    {"log", Presence::Optional, readLog},
    {"trace", Presence::Optional, readTrace},
}};

void readPeers(TableReader &root, const std::string &file, DaemonSettings &settings,
               Problems &problems)
{
    const toml::node *node = root.find("peer");
    if (!node)
        return;
    const toml::array *peers = node->as_array();
    if (!peers || !peers->is_array_of_tables()) {
        root.report(node, "peer", "must be written as [[peer]] tables");
        return;
    }
    for (const auto &entry : *peers) {
        TableReader reader(*entry.as_table(), "peer", file, problems);
        Engine::SeedPeer peer;
        peer.name = Core::NodeName(reader.requiredText("name"));
        peer.dataCentre = Core::DataCentreName(reader.requiredText("data_centre"));
        peer.address = reader.address("address");
        reader.reportUnknown();
        settings.node.seedPeers.push_back(std::move(peer));
    }
}

DaemonSettings readAll(const toml::table &table, const std::string &file, Problems &problems)
{
    DaemonSettings settings;
    TableReader root(table, "", file, problems);
    for (const Section &section : sections) {
        const toml::node *node = root.find(section.name);
        if (node && !node->is_table()) {
            root.report(node, section.name, "must be a table");
            continue;
        }
        if (!node) {
            if (section.presence == Presence::Required)
                root.report(nullptr, section.name, "is missing");
            continue;
        }
        TableReader reader(*node->as_table(), std::string(section.name), file, problems);
        section.read(reader, settings);
        reader.reportUnknown();
    }
    readPeers(root, file, settings, problems);
    root.reportUnknown();
    settings.node.peerAddress = settings.peerListen;
    return settings;
}

} // namespace

std::string SettingsProblem::toString() const
{
    return file + ":" + std::to_string(line) + ": " + field + ": " + message;
}

tl::expected<DaemonSettings, std::vector<SettingsProblem>> parseSettings(std::string_view text,
                                                                         const std::string &name)
{
    Problems problems;
    try {
        const toml::table table = toml::parse(text, name);
        DaemonSettings settings = readAll(table, name, problems);
        if (problems.empty())
            return settings;
    } catch (const toml::parse_error &error) {
        problems.push_back(
            {name, error.source().begin.line, "(file)", std::string(error.description())});
    }
    return tl::unexpected(std::move(problems));
}

tl::expected<DaemonSettings, std::vector<SettingsProblem>> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(Problems{{path, 0, "(file)", "can't be read"}});
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace Chervilpin::Settings
