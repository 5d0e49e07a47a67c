#include <Rates/GrantTokens.h>

namespace Chervilpin::Rates {

void grantTokens(TokenBucket &bucket, const TokenRequest &request, TokenGrant &grant,
                 Core::Instant now)
{
    bucket.returnTokens(request.returned);
    while (grant.operations < request.needed && bucket.take(now))
        ++grant.operations;
    // Prefetched tokens come only from the upper half of the bucket, so that they don't deprive
    // waiting operations of other proxies.
    for (std::uint32_t extra = 0; extra < request.prefetch && bucket.isOverHalfFull(); ++extra) {
        if (!bucket.take(now))
            break;
        ++grant.operations;
    }
    grant.retryAfter = bucket.waitForNext();
}

} // namespace Chervilpin::Rates
