#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Chervilpin::UpstreamStandIn {

/// Another database of the group.
struct GroupPeer
{
    Core::DataCentreName dataCentre;
    std::string address; ///< IP:port of its gRPC service.
};

struct Options
{
    std::string name;
    std::string group;
    std::string dataCentre;
    std::string listenAddress;  ///< gRPC.
    std::string controlAddress; ///< HTTP.
    std::string initialPrimary; ///< Empty: the database starts with known term 0.
    std::string journalPath;    ///< Empty: a restart loses everything.
    std::map<Core::DatabaseName, GroupPeer> peers;
    std::size_t slots = 5;
    std::size_t maximumConnections = 30;
    std::size_t maximumWaiting = 1000;
    std::int64_t connectDelayMilliseconds = 10;
    std::int64_t lagMilliseconds = 5;
    std::int64_t lagJitterMilliseconds = 2;
    std::int64_t serviceMicroseconds = 200;
};

/// Reads `NAME/DATA_CENTRE/IP:PORT` into the peers. Fails with InvalidArgument.
[[nodiscard]] Core::ErrorOr<void> addPeer(Options &, std::string_view text);

} // namespace Chervilpin::UpstreamStandIn
