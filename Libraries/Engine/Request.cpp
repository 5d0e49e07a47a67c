#include <Engine/Request.h>

namespace Chervilpin::Engine {

const char *toString(Stage stage)
{
    switch (stage) {
    case Stage::Admit:
        return "admit";
    case Stage::Queue:
        return "queue";
    case Stage::Route:
        return "route";
    case Stage::Borrow:
        return "borrow";
    case Stage::Execute:
        return "execute";
    case Stage::Confirm:
        return "confirm";
    case Stage::Retry:
        return "retry";
    }
    return "admit";
}

Core::TeamName ticketTeam(const Request &request)
{
    return request.team.isEmpty() ? Core::TeamName("(open)") : request.team;
}

} // namespace Chervilpin::Engine
