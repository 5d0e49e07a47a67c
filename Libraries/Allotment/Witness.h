#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Core/Milliseconds.h>

#include <map>
#include <optional>

namespace Chervilpin::Allotment {

/// A node's part in other nodes' claims: supports living owners, and testifies to challengers that
/// an owner's right has ended.
///
/// A witness that has begun anew may have promised something in its earlier life; it testifies only
/// once such a promise must have run out.
class Witness
{
public:
    explicit Witness(const Options &options);

    /// Promises support, unless it was handleTestimony that the epoch has ended.
    [[nodiscard]] std::optional<Support> answer(const SupportRequest &request, Core::Instant now);
    [[nodiscard]] Testimony answer(const TestimonyRequest &request, Core::Instant now);

private:
    struct Record
    {
        Epoch endedEpoch = 0; ///< No epoch up to this one is handleSupport.
        Core::Instant promisedUntil;
    };

    void recordStart(Core::Instant now);

    Options options_;
    std::map<ShareId, Record> records_;
    std::optional<Core::Instant> startedAt_;
};

} // namespace Chervilpin::Allotment
