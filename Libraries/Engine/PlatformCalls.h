#pragma once

#include <Engine/Outbox.h>
#include <Platform/Messages.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Chervilpin::Engine {

/// The modules that call the platform. Each numbers its calls by itself.
enum class CallingModule {
    Membership,
    Configuration,
    Failover,
    Allotment,
};

/// Gives the platform calls of all modules ids of one series, and replies back to their module.
class PlatformCalls
{
public:
    struct Origin
    {
        CallingModule module = CallingModule::Membership;
        Platform::CallId id = 0; ///< As the module numbered it.
        Core::Instant askedAt;
    };

    void send(CallingModule module, Platform::Call call, Core::Instant now, Outbox &outbox)
    {
        const Platform::CallId id = nextId_++;
        origins_[id] = {module, call.id, now};
        call.id = id;
        outbox.push(CallPlatform{std::move(call)});
    }

    /// Where a reply belongs; nothing if it is doubled.
    [[nodiscard]] std::optional<Origin> replied(Platform::CallId id)
    {
        const auto found = origins_.find(id);
        if (found == origins_.end())
            return std::nullopt;
        const Origin origin = found->second;
        origins_.erase(found);
        return origin;
    }

private:
    Platform::CallId nextId_ = 1;
    std::map<Platform::CallId, Origin> origins_;
};

} // namespace Chervilpin::Engine
