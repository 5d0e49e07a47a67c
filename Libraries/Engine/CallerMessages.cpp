#include <Engine/CallerMessages.h>

namespace Chervilpin::Engine {

const char *toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::BadRequest:
        return "bad_request";
    case RefusalReason::UnknownKey:
        return "unknown_key";
    case RefusalReason::UnknownRoute:
        return "unknown_route";
    case RefusalReason::RateExceeded:
        return "rate_exceeded";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::NoPrimary:
        return "no_primary";
    case RefusalReason::NotFreshEnough:
        return "not_fresh_enough";
    case RefusalReason::WrongHalf:
        return "wrong_half";
    case RefusalReason::TransactionEnded:
        return "transaction_ended";
    case RefusalReason::NotReady:
        return "not_ready";
    case RefusalReason::ShuttingDown:
        return "shutting_down";
    case RefusalReason::UpstreamFailed:
        return "upstream_failed";
    case RefusalReason::AnswerLost:
        return "answer_lost";
    }
    return "none";
}

} // namespace Chervilpin::Engine
