#include <Services/SessionProxy/SessionProxySettings.h>

#include <cmath>
#include <sstream>
#include <toml++/toml.h>

namespace Chervilpin::SessionProxy {

using Core::ErrorCode;
using Core::ErrorOr;
using Core::failure;

namespace {

/// Reads typed fields of a settings file; its errors name the file and the field.
class FieldReader
{
public:
    FieldReader(const toml::table &table, const std::string &file)
        : table_(table)
        , file_(file)
    { }

    [[nodiscard]] ErrorOr<std::string> text(std::string_view path) const
    {
        const auto value = table_.at_path(path).value<std::string>();
        if (!value || value->empty())
            return failure(ErrorCode::InvalidArgument,
                           file_ + ": " + std::string(path) + ": expected a non-empty string");
        return *value;
    }

    [[nodiscard]] ErrorOr<std::int64_t> positive(std::string_view path,
                                                 std::int64_t defaultValue) const
    {
        const auto node = table_.at_path(path);
        if (!node)
            return defaultValue;
        const auto value = node.value<std::int64_t>();
        if (!value || *value <= 0)
            return failure(ErrorCode::InvalidArgument,
                           file_ + ": " + std::string(path) + ": expected an integer above 0");
        return *value;
    }

    [[nodiscard]] ErrorOr<bool> flag(std::string_view path, bool defaultValue) const
    {
        const auto node = table_.at_path(path);
        if (!node)
            return defaultValue;
        const auto value = node.value<bool>();
        if (!value)
            return failure(ErrorCode::InvalidArgument,
                           file_ + ": " + std::string(path) + ": expected true or false");
        return *value;
    }

    /// Reads a number of cores. Returns thousandths of a core, or 0 if the field is missing.
    [[nodiscard]] ErrorOr<unsigned> capacity(std::string_view path) const
    {
        constexpr double thousandthsPerCore = 1'000;
        constexpr double maximumCores = 1'000;
        const auto node = table_.at_path(path);
        if (!node)
            return 0U;
        const auto cores = node.value<double>();
        if (!cores || *cores <= 0 || *cores > maximumCores)
            return failure(ErrorCode::InvalidArgument,
                           file_ + ": " + std::string(path)
                               + ": expected a number of cores above 0 and up to 1000");
        return static_cast<unsigned>(std::lround(*cores * thousandthsPerCore));
    }

    /// Reads a table of texts; empty if it is missing.
    [[nodiscard]] ErrorOr<std::map<std::string, std::string>> texts(std::string_view path) const
    {
        std::map<std::string, std::string> result;
        const auto node = table_.at_path(path);
        if (!node)
            return result;
        if (!node.is_table())
            return failure(ErrorCode::InvalidArgument,
                           file_ + ": " + std::string(path) + ": expected a table of strings");
        for (const auto &[key, value] : *node.as_table()) {
            const auto text = value.value<std::string>();
            if (!text || text->empty())
                return failure(ErrorCode::InvalidArgument,
                               file_ + ": " + std::string(path) + "." + std::string(key.str())
                                   + ": expected a non-empty string");
            result.emplace(key.str(), *text);
        }
        return result;
    }

private:
    const toml::table &table_;
    const std::string &file_;
};

ErrorOr<SessionProxySettings> readTable(const toml::table &table, const std::string &path)
{
    const FieldReader reader(table, path);
    SessionProxySettings settings;
    settings.node = Core::NodeName(TRY(reader.text("node.name")));
    settings.dataCentre = Core::DataCentreName(TRY(reader.text("node.data_centre")));
    settings.firstStart =
        TRY(reader.flag("node.first_start", false)) ? FirstStart::Yes : FirstStart::No;
    settings.capacity = TRY(reader.capacity("node.cores"));
    settings.callerListen = TRY(reader.text("listen.callers"));
    settings.readyListen = TRY(reader.text("listen.ready"));
    settings.metricsListen = TRY(reader.text("listen.metrics"));
    settings.peerListen = TRY(reader.text("listen.peers"));
    settings.storeAddress = TRY(reader.text("store.address"));
    settings.promotionAddress = TRY(reader.text("promotion.address"));
    settings.stopGrace = Core::Duration(
        TRY(reader.positive("limits.stop_grace_s", settings.stopGrace.milliseconds() / 1'000))
        * 1'000);
    for (const auto &[dataCentre, region] : TRY(reader.texts("regions")))
        settings.regions.emplace(Core::DataCentreName(dataCentre), Core::RegionName(region));
    settings.followsEvacuations =
        TRY(reader.flag("evacuations.enabled", settings.followsEvacuations));
    settings.evacuationBound = Core::Duration(
        TRY(reader.positive("evacuations.bound_ms", settings.evacuationBound.milliseconds())));
    settings.crossingCost = Core::Duration(TRY(reader.positive("placement.crossing_cost_ms", 0)));
    settings.maximumSessions = static_cast<std::size_t>(TRY(
        reader.positive("limits.sessions", static_cast<std::int64_t>(settings.maximumSessions))));
    settings.sampledLinesPerSecond = static_cast<double>(TRY(reader.positive(
        "log.sampled_lines_per_s", static_cast<std::int64_t>(settings.sampledLinesPerSecond))));
    settings.failureLinesPerSecond = static_cast<double>(TRY(reader.positive(
        "log.failure_lines_per_s", static_cast<std::int64_t>(settings.failureLinesPerSecond))));
    if (const auto level = table.at_path("log.level").value<std::string>())
        settings.logLevel = TRY(Observe::parseSeverity(*level));
    return settings;
}

} // namespace

ErrorOr<SessionProxySettings> readSettings(const std::string &path)
{
    try {
        return readTable(toml::parse_file(path), path);
    } catch (const toml::parse_error &problem) {
        std::ostringstream message;
        message << path << ":" << problem.source().begin.line << ": " << problem.description();
        return failure(ErrorCode::InvalidArgument, message.str());
    }
}

} // namespace Chervilpin::SessionProxy
