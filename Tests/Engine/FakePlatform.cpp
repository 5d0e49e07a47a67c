#include <Tests/Engine/FakePlatform.h>

#include <Core/Overloaded.h>

#include <utility>

namespace Chervilpin::Testing {

void FakePlatform::receive(std::size_t node, Platform::Call call, Core::Instant now)
{
    Core::Duration wait(10);
    if (const auto *watch = std::get_if<Platform::Watch>(&call.body))
        wait = watch->wait;
    waiting_.push_back({node, std::move(call), now + wait});
}

bool FakePlatform::isDue(const Waiting &one, Core::Instant now) const
{
    const auto *watch = std::get_if<Platform::Watch>(&one.call.body);
    if (!watch || now >= one.until)
        return now >= one.until;
    return !isUp || !store_.changesSince(watch->prefix, watch->since).objects.empty();
}

std::vector<FakePlatform::Reply> FakePlatform::takeReplies(Core::Instant now)
{
    std::vector<Reply> replies;
    for (auto &one : std::exchange(waiting_, {})) {
        if (isDue(one, now))
            replies.push_back({one.node, {one.call.id, reply(one.call.body)}});
        else
            waiting_.push_back(std::move(one));
    }
    return replies;
}

Platform::ReplyBody FakePlatform::reply(const Platform::CallBody &body)
{
    if (!isUp)
        return Platform::NoAnswer{true, "cut"};
    const auto written = [this](const auto &result) -> Platform::ReplyBody {
        if (!result)
            return Platform::NoAnswer{true, result.error().message};
        if (const auto *conflict = std::get_if<Platform::VersionConflict>(&*result))
            return *conflict;
        return Platform::Objects{{std::get<Platform::Object>(*result)}, store_.revision()};
    };
    const Core::Overloaded handle{
        [&](const Platform::Get &get) -> Platform::ReplyBody {
            auto object = store_.get(get.key);
            if (object.version == 0)
                return Platform::Missing();
            return Platform::Objects{{std::move(object)}, store_.revision()};
        },
        [&](const Platform::Put &put) { return written(store_.put(put)); },
        [&](const Platform::Delete &erased) { return written(store_.erase(erased)); },
        [&](const Platform::List &list) -> Platform::ReplyBody { return store_.list(list.prefix); },
        [&](const Platform::Watch &watch) -> Platform::ReplyBody {
            return store_.changesSince(watch.prefix, watch.since);
        },
        [&](const Platform::ListVms &) -> Platform::ReplyBody { return Platform::Vms{vms}; },
    };
    return std::visit(handle, body);
}

} // namespace Chervilpin::Testing
