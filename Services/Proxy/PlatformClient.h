#pragma once

#include <Core/Name.h>
#include <Http/Client.h>
#include <Platform/Messages.h>

#include <cstdint>
#include <functional>

namespace Chervilpin::Proxy {

/// Makes the calls of the decision code to the platform's object service over HTTP.
/// docs/CONTRACTS.md has the paths and bodies.
class PlatformClient
{
public:
    using Completion = std::function<void(Platform::Reply)>;

    PlatformClient(boost::asio::io_context &, boost::asio::ip::tcp::endpoint,
                   Core::DataCentreName self);

    void call(const Platform::Call &, Completion);

    /// Calls made so far, a waiting watch counted as one.
    [[nodiscard]] std::uint64_t callCount() const { return callCount_; }

private:
    Http::Client client_;
    Core::DataCentreName self_;
    std::uint64_t callCount_ = 0;
};

} // namespace Chervilpin::Proxy
