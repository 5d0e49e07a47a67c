#include <Allotment/Witness.h>

#include <algorithm>

namespace Chervilpin::Allotment {

Witness::Witness(const Options &options)
    : options_(options)
{ }

void Witness::begin(Core::Instant now)
{
    if (!begunAt_.has_value())
        begunAt_ = now;
}

std::optional<Support> Witness::answer(const SupportRequest &request, Core::Instant now)
{
    begin(now);
    Record &record = records_[request.share];
    if (request.epoch <= record.endedEpoch)
        return std::nullopt;
    // A promise to one epoch counts for all earlier ones too, which only makes testimony later.
    record.promisedUntil =
        std::max(record.promisedUntil, now + options_.stretched(options_.supportSpan));
    return Support{request.share, request.epoch, request.requestId};
}

Testimony Witness::answer(const TestimonyRequest &request, Core::Instant now)
{
    begin(now);
    Record &record = records_[request.share];
    const Core::Instant earlierLifeUntil = *begunAt_ + options_.stretched(options_.supportSpan);
    const bool isPromised = now < record.promisedUntil || now < earlierLifeUntil;
    if (isPromised && options_.guards.promisesAreKept)
        return Testimony{request.share, request.epoch, false};
    record.endedEpoch = std::max(record.endedEpoch, request.epoch);
    return Testimony{request.share, request.epoch, true};
}

} // namespace Chervilpin::Allotment
