#pragma once

#include <Core/Milliseconds.h>
#include <Platform/Messages.h>

#include <deque>
#include <map>

namespace Chervilpin::StandIn {

/// The platform's list of VMs, shown as it was some time ago.
class VmList
{
public:
    explicit VmList(Core::Duration lag)
        : lag_(lag)
    { }

    void put(Platform::Vm, Core::Instant now);
    void erase(const Core::NodeName &, Core::Instant now);
    [[nodiscard]] Platform::Vms list(Core::Instant now);

private:
    using VmMap = std::map<Core::NodeName, Platform::Vm>;
    struct Shown
    {
        Core::Instant from;
        VmMap vms;
    };

    void change(Core::Instant now);

    Core::Duration lag_;
    VmMap current_;
    std::deque<Shown> pending_; ///< States that become visible, earliest first.
    VmMap visible_;
};

} // namespace Chervilpin::StandIn
