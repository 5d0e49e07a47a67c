#include <StandIn/VmList.h>

#include <utility>

namespace Chervilpin::StandIn {

void VmList::change(Core::Instant now)
{
    pending_.push_back({now + lag_, current_});
}

void VmList::put(Platform::Vm vm, Core::Instant now)
{
    current_[vm.name] = std::move(vm);
    change(now);
}

void VmList::erase(const Core::NodeName &name, Core::Instant now)
{
    current_.erase(name);
    change(now);
}

Platform::Vms VmList::list(Core::Instant now)
{
    while (!pending_.empty() && pending_.front().from <= now) {
        visible_ = std::move(pending_.front().vms);
        pending_.pop_front();
    }
    Platform::Vms vms;
    for (const auto &[name, vm] : visible_)
        vms.vms.push_back(vm);
    return vms;
}

} // namespace Chervilpin::StandIn
