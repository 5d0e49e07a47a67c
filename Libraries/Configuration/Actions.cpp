#include <Configuration/Actions.h>

namespace Chervilpin::Configuration {

std::string_view toString(EventKind kind)
{
    switch (kind) {
    case EventKind::Applied:
        return "configuration_applied";
    case EventKind::CaughtUpFromPeer:
        return "configuration_caught_up_from_peer";
    case EventKind::StoreWentBack:
        return "configuration_store_went_back";
    case EventKind::StoreRepaired:
        return "configuration_store_repaired";
    case EventKind::LogForked:
        return "configuration_log_forked";
    case EventKind::PlatformGarbage:
        return "configuration_platform_garbage";
    case EventKind::PeerGarbage:
        return "configuration_peer_garbage";
    case EventKind::PlatformUnavailable:
        return "configuration_platform_unavailable";
    case EventKind::SnapshotWritten:
        return "configuration_snapshot_written";
    }
    return "configuration_event";
}

} // namespace Chervilpin::Configuration
