#pragma once

#include <StandIn/ObjectStore.h>

#include <cstddef>
#include <vector>

namespace Chervilpin::Testing {

/// The platform's objects and VMs; answers after 10 ms, and watches when something changed.
class FakePlatform
{
public:
    struct Reply
    {
        std::size_t node = 0;
        Platform::Reply reply;
    };

    void receive(std::size_t node, Platform::Call, Core::Instant now);
    [[nodiscard]] std::vector<Reply> takeReplies(Core::Instant now);

    bool isUp = true;
    std::vector<Platform::Vm> vms;

private:
    struct Waiting
    {
        std::size_t node = 0;
        Platform::Call call;
        Core::Instant until;
    };

    [[nodiscard]] bool isDue(const Waiting &, Core::Instant now) const;
    [[nodiscard]] Platform::ReplyBody reply(const Platform::CallBody &);

    StandIn::ObjectStore store_;
    std::vector<Waiting> waiting_;
};

} // namespace Chervilpin::Testing
