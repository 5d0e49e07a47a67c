#include <Fleet/ConfigurationCatchUp.h>

#include <Fleet/RelayTiming.h>

namespace Chervilpin::Fleet {

bool ConfigurationCatchUp::isDue(std::uint64_t known, std::uint64_t newestOfPeers, Source source,
                                 Core::Instant now)
{
    if (newestOfPeers <= known) {
        behindSince_.reset();
        return false;
    }
    if (!behindSince_)
        behindSince_ = now;
    const bool isFeedAwaited = source == Source::Feed && now < *behindSince_ + configurationTimeout;
    if (isFeedAwaited || now < askedAt_ + configurationTimeout)
        return false;
    askedAt_ = now;
    return true;
}

} // namespace Chervilpin::Fleet
