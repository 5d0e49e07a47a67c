#pragma once

#include <Core/Milliseconds.h>
#include <Rates/Messages.h>
#include <Rates/TokenBucket.h>

namespace Chervilpin::Rates {

/// Answers a request from a bucket: takes back the tokens that the requester returns, and fills in
/// the operations that may start and the time until the next token.
void grantTokens(TokenBucket &, const TokenRequest &, TokenGrant &, Core::Instant now);

} // namespace Chervilpin::Rates
