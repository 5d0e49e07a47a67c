#include <Tests/Configuration/FakeStore.h>

#include <algorithm>

namespace Chervilpin::Testing {

std::optional<Platform::ReplyBody> FakeStore::run(const Platform::CallBody &body, StoreFault fault)
{
    if (fault == StoreFault::Refuse)
        return Platform::NoAnswer{true, "refused"};
    if (fault == StoreFault::LoseCall)
        return Platform::NoAnswer{false, "lost"};
    auto reply = std::visit([this](const auto &call) { return apply(call); }, body);
    if (fault == StoreFault::LoseAnswer)
        return Platform::NoAnswer{false, "lost"};
    return reply;
}

Platform::ReplyBody FakeStore::apply(const Platform::Get &call)
{
    const auto place = readable().find(call.key);
    if (place == readable().end())
        return Platform::Missing();
    return Platform::Objects{{place->second}, revision_};
}

Platform::ReplyBody FakeStore::apply(const Platform::Put &call)
{
    const auto place = objects_.find(call.key);
    const Platform::Version version = place == objects_.end() ? 0 : place->second.version;
    if (version != call.expected)
        return Platform::VersionConflict{place == objects_.end() ? Platform::Object{call.key, 0, ""}
                                                                 : place->second};
    put(call.key, call.value);
    return Platform::Objects{{objects_[call.key]}, revision_};
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    Platform::Object &object = objects_[key];
    object = {key, object.version + 1, value};
    changedAt_[key] = ++revision_;
}

Platform::ReplyBody FakeStore::apply(const Platform::Delete &call)
{
    const auto place = objects_.find(call.key);
    if (place == objects_.end())
        return Platform::Missing();
    if (place->second.version != call.expected)
        return Platform::VersionConflict{place->second};
    objects_.erase(place);
    ++revision_;
    return Platform::Objects{{{call.key, 0, ""}}, revision_};
}

Platform::ReplyBody FakeStore::apply(const Platform::List &call)
{
    Platform::Objects found{{}, revision_};
    for (const auto &[key, object] : objects_) {
        if (key.starts_with(call.prefix))
            found.objects.push_back(object);
    }
    return found;
}

Platform::ReplyBody FakeStore::apply(const Platform::Watch &call)
{
    Platform::Objects found{{}, revision_};
    if (watchFault == WatchFault::EndsAtOnce)
        return found;
    for (const auto &[key, object] : readable()) {
        if (key.starts_with(call.prefix) && changedAt_[key] > call.since)
            found.objects.push_back(object);
    }
    if (watchFault == WatchFault::Skips && !found.objects.empty())
        found.objects.erase(found.objects.begin());
    return found;
}

Platform::ReplyBody FakeStore::apply(const Platform::ListVms &)
{
    return Platform::Vms();
}

std::size_t FakeStore::count(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        objects_, [&](const auto &entry) { return entry.first.starts_with(prefix); }));
}

} // namespace Chervilpin::Testing
