#pragma once

#include <Core/Result.h>
#include <Engine/NodeSettings.h>
#include <Observe/Log.h>

#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Settings {

/// All settings of the daemon, as read from its TOML file.
struct DaemonSettings
{
    Engine::NodeSettings node;
    std::string callerListen;    ///< IP:port for callers and operators.
    std::string adminListen;     ///< IP:port for metrics and health.
    std::string peerListen;      ///< IP:port for other proxies.
    std::string platformAddress; ///< IP:port of the platform's service.
    Observe::Severity logLevel = Observe::Severity::Info;
    std::string spanFile; ///< Where spans are appended; empty: nowhere.
    std::size_t maximumConnections = 20'000;
};

/// One thing wrong with a settings file.
struct SettingsProblem
{
    std::string file;
    std::size_t line = 0; ///< From 1; 0 where no line can be named.
    std::string field;    ///< Dotted path, such as `node.name`.
    std::string message;

    /// `file:line: field: message`.
    [[nodiscard]] std::string toString() const;
};

/// Reads a settings file and checks it as a whole; returns every problem, not just the first.
tl::expected<DaemonSettings, std::vector<SettingsProblem>> readSettings(const std::string &path);

/// The same for a text; \a name stands for the file in problems.
tl::expected<DaemonSettings, std::vector<SettingsProblem>> parseSettings(std::string_view text,
                                                                         const std::string &name);

} // namespace Chervilpin::Settings
