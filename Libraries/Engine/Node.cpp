#include <Engine/Node.h>

namespace Chervilpin::Engine {

std::optional<Route::Stamp> Node::send(ConnectionId id, const Upstream::RequestBody &body,
                                       Purpose purpose, Execute::Sharing sharing, Core::Instant now)
{
    const Route::Stamp asked = stamps.next(now);
    const auto correlation = connections.ask(id, std::move(purpose), sharing, asked, now);
    if (!correlation)
        return std::nullopt;
    outbox.push(SendToDatabase{id, *correlation, body});
    return asked;
}

} // namespace Chervilpin::Engine
