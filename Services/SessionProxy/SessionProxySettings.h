#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Observe/Log.h>

#include <cstddef>
#include <string>

namespace Chervilpin::SessionProxy {

/// Whether the fleet as a whole starts for the first time, so that no proxy finds the others yet.
enum class FirstStart {
    Yes,
    No,
};

/// All settings of one process, as read from its TOML file.
struct SessionProxySettings
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    FirstStart firstStart = FirstStart::No;
    unsigned capacity = 0;           ///< Of this VM, in thousandths of a core.
    std::string callerListen;        ///< IP:port for callers.
    std::string readyListen;         ///< IP:port for the balancer's question.
    std::string metricsListen;       ///< IP:port for metrics.
    std::string peerListen;          ///< IP:port for other proxies, UDP and TCP.
    std::string storeAddress;        ///< IP:port of the platform's store.
    std::string promotionAddress;    ///< IP:port that promotions are ordered from.
    Core::Duration stopGrace{6'000}; ///< From SIGTERM until the process is killed.
    std::size_t maximumSessions = 3'800;
    Observe::Severity logLevel = Observe::Severity::Info;
    double sampledLinesPerSecond = 20;  ///< Lines of requests that ended well.
    double failureLinesPerSecond = 200; ///< Lines of failures and of what the process believes.
};

/// Fails with InvalidArgument; the message names the file, the field and what is wrong.
[[nodiscard]] Core::ErrorOr<SessionProxySettings> readSettings(const std::string &path);

} // namespace Chervilpin::SessionProxy
