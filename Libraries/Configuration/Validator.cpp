#include <Configuration/Validator.h>

#include <algorithm>
#include <map>

namespace Chervilpin::Configuration {

namespace {

/// Collects the faults of one configuration.
class Check
{
public:
    Check(const Snapshot &snapshot, const Capacity &capacity)
        : snapshot_(snapshot)
        , capacity_(capacity)
    { }

    FieldErrors run()
    {
        for (const Resource &resource : snapshot_.resources()) {
            id_ = resource.id;
            std::visit([this](const auto &spec) { check(spec); }, resource.spec);
        }
        checkTotals();
        return std::move(errors_);
    }

private:
    void report(const std::string &field, std::string problem, std::string remedy)
    {
        errors_.push_back(
            {toString(id_) + ".spec." + field, std::move(problem), std::move(remedy)});
    }

    void checkReference(const std::string &field, Kind kind, const std::string &name)
    {
        if (snapshot_.find({kind, name}) != nullptr)
            return;
        const std::string target = toString(ResourceId{kind, name});
        report(field, "refers to " + target + ", which doesn't exist",
               "create " + target + " in the same change, or correct the name");
    }

    void check(const TeamSpec &spec)
    {
        checkReference("half", Kind::Half, spec.half.value());
        if (spec.burst < 1)
            report("burst", "must be at least 1, is 0", "allow at least one request at once");
        if (spec.burst > capacity_.burst) {
            report("burst", "is beyond the capacity of " + std::to_string(capacity_.burst),
                   "lower it to at most that");
        }
        totalRate_ += spec.ratePerSecond;
        rateOfHalf_[spec.half] += spec.ratePerSecond;
    }

    void check(const KeySpec &spec) { checkReference("team", Kind::Team, spec.team.value()); }

    void check(const UpstreamGroupSpec &spec)
    {
        checkReference("half", Kind::Half, spec.half.value());
        checkDatabaseCount(spec);
        if (spec.slots > spec.maxConnections) {
            report("slots", "is more than max_connections, so some could never be used",
                   "lower slots or raise max_connections");
        }
        for (std::size_t i = 0; i < spec.databases.size(); ++i)
            checkDatabase(spec.databases[i], "databases[" + std::to_string(i) + "]");
    }

    void checkDatabaseCount(const UpstreamGroupSpec &spec)
    {
        if (spec.databases.empty())
            report("databases", "is empty", "list the group's databases");
        if (spec.databases.size() > capacity_.databasesPerGroup) {
            report("databases",
                   "has more than " + std::to_string(capacity_.databasesPerGroup) + " databases",
                   "split the group");
        }
        const bool allLeave =
            !spec.databases.empty() && std::ranges::all_of(spec.databases, &Database::isLeaving);
        if (allLeave)
            report("databases", "are all leaving", "keep at least one that isn't leaving");
    }

    /// A database of two groups would have two owners and two logs.
    void checkDatabase(const Database &database, const std::string &field)
    {
        const auto name = nameUsedBy_.emplace(database.name, id_);
        if (!name.second) {
            report(field + ".name",
                   database.name.value() + " is also in " + toString(name.first->second),
                   "list each database in one group only, and once");
        }
        const auto address = addressUsedBy_.emplace(database.address, id_);
        if (!address.second) {
            report(field + ".address",
                   database.address + " is also in " + toString(address.first->second),
                   "give each database its own address");
        }
    }

    void check(const RouteSpec &spec)
    {
        checkReference("group", Kind::UpstreamGroup, spec.group.value());
        for (std::size_t i = 0; i < spec.teams.size(); ++i) {
            const std::string field = "teams[" + std::to_string(i) + "]";
            checkReference(field, Kind::Team, spec.teams[i].value());
            checkTwice(spec, i, field);
        }
        if (spec.isOpenToAll && !spec.teams.empty())
            report("teams", "are listed on a route open to all", "remove them or is_open_to_all");
    }

    void checkTwice(const RouteSpec &spec, std::size_t index, const std::string &field)
    {
        const auto end = spec.teams.begin() + static_cast<std::ptrdiff_t>(index);
        if (std::find(spec.teams.begin(), end, spec.teams[index]) != end)
            report(field, "is listed twice", "remove one of the two");
    }

    void check(const HalfSpec &spec)
    {
        const auto used = endpointUsedBy_.emplace(spec.callerEndpoint, id_);
        if (!used.second) {
            report("caller_endpoint", "is also that of " + toString(used.first->second),
                   "give each half its own endpoint");
        }
    }

    void check(const OperatorSpec &) { }

    void checkTotals()
    {
        if (totalRate_ > capacity_.ratePerSecond) {
            errors_.push_back({"Team.spec.rate_per_second",
                               "the rates of all teams sum to " + std::to_string(totalRate_)
                                   + ", beyond the capacity of "
                                   + std::to_string(capacity_.ratePerSecond),
                               "lower some of the rates"});
        }
        for (const auto &[half, rate] : rateOfHalf_)
            checkHalfCapacity(half, rate);
        if (snapshot_.resources().size() > capacity_.resources) {
            errors_.push_back({"",
                               "more than " + std::to_string(capacity_.resources) + " resources",
                               "delete what is no longer used, such as withdrawn keys"});
        }
    }

    void checkHalfCapacity(const Core::HalfName &name, std::uint64_t rate)
    {
        const HalfSpec *half = snapshot_.findHalf(name);
        if (half == nullptr || half->capacityPerSecond == 0 || rate <= half->capacityPerSecond)
            return;
        id_ = {Kind::Half, name.value()};
        report("capacity_per_second",
               "is less than the sum of its teams' rates, " + std::to_string(rate),
               "lower the rates of its teams or raise the capacity");
    }

    const Snapshot &snapshot_;
    const Capacity &capacity_;
    FieldErrors errors_;
    ResourceId id_;
    std::uint64_t totalRate_ = 0;
    std::map<Core::HalfName, std::uint64_t> rateOfHalf_;
    std::map<Core::DatabaseName, ResourceId> nameUsedBy_;
    std::map<std::string, ResourceId> addressUsedBy_;
    std::map<std::string, ResourceId> endpointUsedBy_;
};

} // namespace

FieldErrors validate(const Snapshot &snapshot, const Capacity &capacity)
{
    return Check(snapshot, capacity).run();
}

} // namespace Chervilpin::Configuration
