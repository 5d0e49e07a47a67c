#pragma once

#include <Allotment/Manager.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Engine/CallerMessages.h>

#include <map>
#include <optional>
#include <span>
#include <variant>

namespace Chervilpin::Admit {

/// The request may go on to the queue.
struct Admitted
{ };

/// The tokens are being fetched; one Admitted or Refused for this request follows at once or within
/// Allotment::Options::maximumWait.
struct Waiting
{ };

/// The request did not run and never will.
struct Refused
{
    Engine::RefusalReason reason = Engine::RefusalReason::RateExceeded;
    Core::Duration retryAfter;
};

using Admission = std::variant<Admitted, Waiting, Refused>;

/// The end of a Waiting.
struct Verdict
{
    Engine::RequestId request = 0;
    std::variant<Admitted, Refused> result;
};

/// Holds each team to its rate and burst over the whole fleet, by taking one token per request.
class AdmissionFilter
{
public:
    /// \a allotment must outlive the filter; the engine goes on driving it.
    explicit AdmissionFilter(Allotment::Manager &allotment);

    /// \a estimatedWait is the queue's estimate for the request; one that can't start in time is
    /// refused here, before it costs a token.
    [[nodiscard]] Admission admit(Engine::RequestId request, const Core::TeamName &team,
                                  Core::Instant deadline, Core::Duration estimatedWait,
                                  Core::Instant now);

    /// Translates an allotment's decision; nothing if it belongs to no waiting request. The request
    /// may have become too late meanwhile, which shows in the verdict.
    [[nodiscard]] std::optional<Verdict> decided(const Allotment::Decision &decision,
                                                 Core::Instant now);

    /// Forgets a waiting request, whose caller left or whose key was withdrawn. True if it waited.
    bool cancel(Engine::RequestId request);

private:
    struct Pending
    {
        Engine::RequestId request = 0;
        Core::Instant deadline;
    };

    Allotment::Manager &allotment_;
    std::map<Allotment::TicketId, Pending> pending_;
};

} // namespace Chervilpin::Admit
