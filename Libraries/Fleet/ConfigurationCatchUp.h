#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>
#include <optional>

namespace Chervilpin::Fleet {

/// Decides when a proxy that has an older configuration than its peers asks the store itself.
///
/// A proxy without a feed asks at once. One that follows a feed leaves it time to deliver: the feed
/// hears of the new version from the leader, and one answer of the store then serves all its
/// followers. This matters after the store has dropped its history, when all are behind together.
class ConfigurationCatchUp
{
public:
    enum class Source {
        Store,
        Feed,
    };

    /// Returns whether to ask the store now. To be called regularly.
    [[nodiscard]] bool isDue(std::uint64_t known, std::uint64_t newestOfPeers, Source,
                             Core::Instant now);

private:
    std::optional<Core::Instant> behindSince_; ///< Empty while no peer has a newer version.
    Core::Instant askedAt_;                    ///< When it was last due.
};

} // namespace Chervilpin::Fleet
