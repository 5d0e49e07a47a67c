#include <Engine/GroupRuntime.h>

#include <algorithm>

namespace Chervilpin::Engine {

namespace {

std::vector<Core::DatabaseName> namesOf(const Configuration::UpstreamGroupSpec &spec)
{
    std::vector<Core::DatabaseName> names;
    for (const auto &database : spec.databases)
        names.push_back(database.name);
    return names;
}

Queue::ConcurrencyLimitOptions limitOptions(const Configuration::UpstreamGroupSpec &spec)
{
    Queue::ConcurrencyLimitOptions options;
    options.most = std::max(options.least, spec.maxConnections);
    return options;
}

} // namespace

GroupRuntime::GroupRuntime(const Core::GroupName &name,
                           const Configuration::UpstreamGroupSpec &groupSpec)
    : view(name, namesOf(groupSpec))
    , tracker({}, std::make_unique<Confirm::AcknowledgeAtMajority>())
    , hedges({})
{
    configure(groupSpec, Core::Instant());
}

std::vector<Core::DatabaseName>
GroupRuntime::configure(const Configuration::UpstreamGroupSpec &groupSpec, Core::Instant now)
{
    spec = groupSpec;
    view.setDatabases(namesOf(groupSpec), now);
    for (const auto &database : groupSpec.databases) {
        auto [entry, isNew] = databases.try_emplace(database.name);
        if (isNew)
            entry->second.limit = Queue::ConcurrencyLimit(limitOptions(groupSpec));
        entry->second.settings = database;
    }
    std::vector<Core::DatabaseName> removed;
    for (const auto &entry : databases) {
        const Core::DatabaseName &name = entry.first;
        const auto isNamed = [&name](const auto &database) {
            return database.name == name;
        };
        if (std::ranges::none_of(groupSpec.databases, isNamed))
            removed.push_back(name);
    }
    return removed;
}

DatabaseRuntime *GroupRuntime::find(const Core::DatabaseName &name)
{
    const auto found = databases.find(name);
    return found == databases.end() ? nullptr : &found->second;
}

const Core::HalfName &GroupRuntime::effectiveOwner() const
{
    return ownedTerm > 0 && !owner.isEmpty() ? owner : spec.half;
}

std::uint32_t GroupRuntime::roomForReads() const
{
    std::uint32_t room = 0;
    std::size_t waiting = 0;
    for (const auto &[name, database] : databases) {
        waiting += database.waiting.size();
        if (database.hasRoom() && !database.settings.isLeaving)
            room += database.pool.count(Borrow::ConnectionState::Idle);
    }
    return room > waiting ? room - static_cast<std::uint32_t>(waiting) : 0;
}

std::uint32_t GroupRuntime::roomForWrites()
{
    const auto primary = view.primary();
    const DatabaseRuntime *database = primary ? find(primary->database) : nullptr;
    if (!database || !database->hasRoom() || !database->waiting.empty())
        return 0;
    return 1;
}

std::uint32_t GroupRuntime::slots(RequestKind kind) const
{
    std::uint32_t sum = 0;
    const auto primary = view.primary();
    for (const auto &[name, database] : databases) {
        if (kind == RequestKind::Read || (primary && primary->database == name))
            sum += database.limit.limit();
    }
    return std::max<std::uint32_t>(sum, 1);
}

Queue::FairQueue &GroupRuntime::queue(RequestKind kind)
{
    return kind == RequestKind::Read ? reads : writes;
}

} // namespace Chervilpin::Engine
