#include "Options.h"

namespace Chervilpin::UpstreamStandIn {

Core::ErrorOr<void> addPeer(Options &options, std::string_view text)
{
    const auto first = text.find('/');
    const auto second = first == std::string_view::npos ? first : text.find('/', first + 1);
    if (second == std::string_view::npos)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "a peer is NAME/DATA_CENTRE/IP:PORT, not " + std::string(text));
    const Core::DatabaseName name(text.substr(0, first));
    const Core::DataCentreName dataCentre(text.substr(first + 1, second - first - 1));
    options.peers[name] = GroupPeer{dataCentre, std::string(text.substr(second + 1))};
    return {};
}

} // namespace Chervilpin::UpstreamStandIn
