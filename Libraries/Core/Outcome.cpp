#include <Core/Outcome.h>

namespace Chervilpin::Core {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Chervilpin::Core
