#include <Allotment/Witness.h>

#include <algorithm>

namespace Chervilpin::Allotment {

Witness::Witness(const Options &options)
    : options_(options)
{ }

void Witness::recordStart(Core::Instant now)
{
    if (!startedAt_.has_value())
        startedAt_ = now;
}

std::optional<Support> Witness::answer(const SupportRequest &request, Core::Instant now)
{
    recordStart(now);
    Record &record = records_[request.share];
    if (request.epoch <= record.endedEpoch)
        return std::nullopt;
    // A promise to one epoch also counts for all earlier epochs, which only delays testimony.
    record.promisedUntil =
        std::max(record.promisedUntil, now + options_.withDriftMargin(options_.supportDuration));
    return Support{request.share, request.epoch, request.requestId};
}

Testimony Witness::answer(const TestimonyRequest &request, Core::Instant now)
{
    recordStart(now);
    Record &record = records_[request.share];
    const Core::Instant previousPromisesUntil =
        *startedAt_ + options_.withDriftMargin(options_.supportDuration);
    const bool isPromised = now < record.promisedUntil || now < previousPromisesUntil;
    if (isPromised && options_.guards.witnessKeepsPromises)
        return Testimony{request.share, request.epoch, false};
    record.endedEpoch = std::max(record.endedEpoch, request.epoch);
    return Testimony{request.share, request.epoch, true};
}

} // namespace Chervilpin::Allotment
