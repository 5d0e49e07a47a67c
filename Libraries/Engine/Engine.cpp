#include <Engine/Engine.h>

namespace Chervilpin::Engine {

class Engine::Implementation
{ };

Engine::Engine(NodeSettings, std::uint64_t, Core::Instant) { }
Engine::~Engine() = default;
void Engine::callerRequest(CallerRequest, Core::Instant) { }
void Engine::operatorRequest(OperatorRequest, Core::Instant) { }
void Engine::connectionOpened(ConnectionId, Core::Instant) { }
void Engine::connectionEnded(ConnectionId, ConnectionFailure, Core::Instant) { }
void Engine::databaseAnswer(ConnectionId, Upstream::CorrelationId, Upstream::Answer, Core::Instant)
{ }
void Engine::platformReply(Platform::Reply, Core::Instant) { }
void Engine::peerMessage(Peer::Incoming, Core::Instant) { }
void Engine::tick(Core::Instant) { }
void Engine::shutDown(Core::Instant) { }
bool Engine::isReady() const
{
    return false;
}
std::vector<Action> Engine::takeActions()
{
    return {};
}

} // namespace Chervilpin::Engine
