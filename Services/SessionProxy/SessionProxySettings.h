#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Observe/Log.h>

#include <cstddef>
#include <map>
#include <string>

namespace Chervilpin::SessionProxy {

/// Whether the whole fleet starts for the first time, so that the store lists no other proxies yet.
enum class FirstStart {
    Yes,
    No,
};

/// Settings of the process, read from its TOML file.
struct SessionProxySettings
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    FirstStart firstStart = FirstStart::No;
    unsigned capacity = 0;           ///< Of this VM, in thousandths of a core; 0 if not given.
    std::string callerListen;        ///< IP:port for callers.
    std::string readyListen;         ///< IP:port for the load balancer's readiness check.
    std::string metricsListen;       ///< IP:port for metrics.
    std::string peerListen;          ///< IP:port for other proxies, UDP and TCP.
    std::string storeAddress;        ///< IP:port of the platform's store.
    std::string promotionAddress;    ///< IP:port of the platform's promotion service.
    Core::Duration stopGrace{6'000}; ///< Time from SIGTERM until the process is killed.
    /// The region of each data centre; routes and teams may be limited to regions.
    std::map<Core::DataCentreName, Core::RegionName> regions;
    /// Whether operators may request that a data centre is evacuated.
    bool followsEvacuations = true;
    /// The time after such a request from which nothing may be sent to the databases there.
    Core::Duration evacuationBound{5'000};
    /// What a read that leaves the data centre may cost, beside the time that it takes. 0 means
    /// that only time counts.
    Core::Duration crossingCost;
    std::size_t maximumSessions = 3'800;
    Observe::Severity logLevel = Observe::Severity::Info;
    double sampledLinesPerSecond = 20;  ///< Limit for successful requests.
    double failureLinesPerSecond = 200; ///< Limit for all other log lines.
};

/// Reads and checks the settings in \a path. Fails with InvalidArgument; the message names the
/// file, the field or line, and what is wrong.
[[nodiscard]] Core::ErrorOr<SessionProxySettings> readSettings(const std::string &path);

} // namespace Chervilpin::SessionProxy
