#pragma once

#include <Core/Overloaded.h>
#include <Rates/RateLimiter.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Chervilpin::Rates::Testing {

/// The maximum number of operations that the users tolerate over a window of 5 s.
inline double toleratedMaximum(Sessions::TeamLimits limits)
{
    constexpr double window = 5;
    return (limits.ratePerSecond * window + limits.burst) * 1.1 + 20;
}

/// The rate limiters of a simulated fleet. A datagram takes one millisecond.
class RateLimiterFixture
{
public:
    static inline const Core::TeamName team{"team"};

    RateLimiterFixture(unsigned count, Sessions::TeamLimits limits, unsigned dataCentres = 2)
        : limits_(limits)
    {
        for (unsigned i = 1; i <= count; ++i) {
            const std::string name = "n" + std::to_string(i);
            const std::string dataCentre = "dc-" + std::to_string(1 + i % dataCentres);
            members.push_back({Core::NodeName(name), Core::DataCentreName(dataCentre), name});
        }
        for (const auto &member : members)
            start(member);
        updateMembers();
        advanceTime(Core::Duration(10'000));
    }

    void updateMembers()
    {
        for (const auto &[name, limiter] : limiters)
            limiter->setMembers(members, members.size(), now);
    }

    /// Replaces the proxy's process by a new one that knows the members and the limits.
    void restart(const std::string &name)
    {
        for (const auto &member : members) {
            if (member.address != name)
                continue;
            start(member);
            limiters.at(name)->setMembers(members, members.size(), now);
        }
    }

    void setLimits(Sessions::TeamLimits limits)
    {
        limits_ = limits;
        for (const auto &[name, limiter] : limiters)
            limiter->setLimits({{team, limits}}, now);
    }

    void advanceTime(Core::Duration span)
    {
        const Core::Instant end = now + span;
        while (now < end) {
            now = now + Core::Duration(1);
            step();
        }
    }

    /// Simulates a caller of this proxy that requests the admission of one operation.
    void requestOperation(const std::string &name)
    {
        limiters.at(name)->requestAdmission(team, nextTicket++, now);
        collect(name);
    }

    /// Simulates that an operation admitted by this proxy reached no database.
    void refund(const std::string &name)
    {
        limiters.at(name)->refund(team, now);
        collect(name);
    }

    [[nodiscard]] std::string owner()
    {
        OwnerTable table(members.front());
        table.setMembers(members);
        return table.ownersOf(team, limits_).owner->address;
    }

    /// The data centre of the proxy with this name.
    [[nodiscard]] Core::DataCentreName dataCentreOf(const std::string &name) const
    {
        for (const auto &member : members) {
            if (member.address == name)
                return member.dataCentre;
        }
        return {};
    }

    /// The maximum number of operations that were granted within 5 s.
    [[nodiscard]] std::size_t maximumGrantedInWindow() const
    {
        std::size_t maximum = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < grantTimes.size(); ++last) {
            while (grantTimes[last] - grantTimes[first] >= Core::Duration(5'000))
                ++first;
            maximum = std::max(maximum, last - first + 1);
        }
        return maximum;
    }

    Core::Instant now{100'000};
    std::vector<Member> members;
    std::map<std::string, std::unique_ptr<RateLimiter>> limiters;
    std::set<std::string> dead;
    std::set<std::string> paused; ///< Their datagrams wait until they go on.
    /// Whether a datagram from one proxy to the other is lost.
    std::function<bool(const std::string &from, const std::string &to)> isLost =
        [](const std::string &, const std::string &) {
            return false;
        };
    std::vector<Decision> granted;
    std::vector<Decision> refused;
    std::vector<Core::Instant> grantTimes;
    unsigned datagrams = 0;
    Ticket nextTicket = 1;

private:
    using Message = std::variant<TokenRequest, TokenGrant, ShareReport, ShareLease, ShareQuery>;

    struct Datagram
    {
        std::string from;
        std::string to;
        Message message;
    };

    void start(const Member &member)
    {
        auto &limiter = limiters[member.address];
        limiter = std::make_unique<RateLimiter>(member, ++incarnations_);
        limiter->setLimits({{team, limits_}}, now);
    }

    void send(const std::string &from, const std::string &to, Message message)
    {
        ++datagrams;
        if (!isLost(from, to))
            inFlight_.push_back({from, to, std::move(message)});
    }

    void step()
    {
        for (auto &datagram : std::exchange(inFlight_, {})) {
            if (paused.contains(datagram.to))
                inFlight_.push_back(std::move(datagram));
            else if (!dead.contains(datagram.to))
                deliver(datagram);
        }
        for (const auto &[name, limiter] : limiters) {
            if (paused.contains(name))
                continue;
            if (now >= limiter->nextDeadline())
                limiter->advance(now);
            collect(name);
        }
    }

    void deliver(const Datagram &datagram)
    {
        RateLimiter &limiter = *limiters.at(datagram.to);
        std::visit(Core::Overloaded{
                       [&](const TokenRequest &request) {
                           send(datagram.to, request.replyTo, limiter.handleRequest(request, now));
                       },
                       [&](const TokenGrant &grant) { limiter.handleGrant(grant, now); },
                       [&](const ShareReport &report) { limiter.handleReport(report, now); },
                       [&](const ShareLease &lease) { limiter.handleLease(lease, now); },
                       [&](const ShareQuery &query) { limiter.handleQuery(query, now); },
                   },
                   datagram.message);
    }

    void collect(const std::string &name)
    {
        for (const auto &decision : limiters.at(name)->takeDecisions()) {
            (decision.isGranted ? granted : refused).push_back(decision);
            if (decision.isGranted)
                grantTimes.push_back(now);
        }
        for (auto &outgoing : limiters.at(name)->takeMessages()) {
            std::visit([&](auto &message) { send(name, outgoing.address, std::move(message)); },
                       outgoing.message);
        }
    }

    Sessions::TeamLimits limits_;
    Core::Incarnation incarnations_ = 0;
    std::vector<Datagram> inFlight_;
};

} // namespace Chervilpin::Rates::Testing
