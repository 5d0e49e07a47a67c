#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Core/Milliseconds.h>

#include <map>
#include <optional>

namespace Chervilpin::Allotment {

/// A witness of other nodes' claims: supports live owners, and testifies to challengers that an
/// owner's lease has expired.
///
/// An earlier incarnation of the witness may have made promises that this one does not know; so it
/// testifies only after any such promise must have expired.
class Witness
{
public:
    explicit Witness(const Options &options);

    /// Promises support, unless this witness has testified that the epoch has ended.
    [[nodiscard]] std::optional<Support> answer(const SupportRequest &request, Core::Instant now);
    [[nodiscard]] Testimony answer(const TestimonyRequest &request, Core::Instant now);

private:
    struct Record
    {
        Epoch endedEpoch = 0; ///< Epochs up to this one are no longer supported.
        Core::Instant promisedUntil;
    };

    void recordStart(Core::Instant now);

    Options options_;
    std::map<ShareId, Record> records_;
    std::optional<Core::Instant> startedAt_;
};

} // namespace Chervilpin::Allotment
