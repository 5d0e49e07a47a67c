#include <Sessions/Placement.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Sessions::Placement {

namespace {

/// The time to open a connection before its first statement.
constexpr double connectionOpenMilliseconds = 13.0;
/// The cost factor of reads on the primary, which occupy slots that only the primary can offer for
/// writes.
constexpr double primaryReadCostFactor = 1.8;
/// A replica's lag varies; it is taken to have reached a mark that is older than its lag by this
/// margin.
constexpr Core::Duration lagMargin{10};
/// Callers are spread unevenly over the proxies, so each proxy may exceed its even share of the
/// slots by this factor.
constexpr double unevennessFactor = 2.5;
constexpr unsigned minimumStatementLimit = 2;

double expectedMilliseconds(const Requirement &requirement, const Candidate &candidate)
{
    double cost = candidate.serviceMilliseconds * (1.0 + candidate.outstanding);
    if (candidate.waitMilliseconds)
        cost = candidate.serviceMilliseconds + *candidate.waitMilliseconds;
    if (candidate.isPrimary && !requirement.isPrimaryOnly)
        cost *= primaryReadCostFactor;
    if (!candidate.hasConnection)
        cost += connectionOpenMilliseconds;
    if (!candidate.isNear)
        cost += candidate.roundTripMilliseconds;
    return cost;
}

bool hasFreeCapacity(const Candidate &candidate)
{
    return candidate.outstanding < candidate.limit
        && (candidate.hasConnection || candidate.canOpen);
}

} // namespace

bool isBetter(const Option &option, const Option &other)
{
    return option.isCold != other.isCold ? other.isCold : option.milliseconds < other.milliseconds;
}

std::string_view toString(Reach reach)
{
    switch (reach) {
    case Reach::Near:
        return "near";
    case Reach::FarIsFaster:
        return "far_is_faster";
    case Reach::OnlyFar:
        break;
    }
    return "only_far";
}

Options findOptions(const Requirement &requirement, std::span<const Candidate> candidates)
{
    Options options;
    for (const auto &candidate : candidates) {
        if (!hasFreeCapacity(candidate))
            continue;
        const Option option{candidate.index, candidate.isPrimary, candidate.isCold,
                            expectedMilliseconds(requirement, candidate)};
        auto &best = candidate.isNear ? options.near : options.far;
        if (!best || isBetter(option, *best))
            best = option;
    }
    return options;
}

bool isExpectedFresh(const Requirement &requirement, Core::LogMark known, Core::Duration lag)
{
    return requirement.mark
        && (known >= *requirement.mark || requirement.markAge > lag + lagMargin);
}

unsigned statementLimit(unsigned slots, std::size_t proxies)
{
    const double even =
        static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(proxies, 1));
    return std::max(minimumStatementLimit,
                    static_cast<unsigned>(std::ceil(even * unevennessFactor)));
}

} // namespace Chervilpin::Sessions::Placement
