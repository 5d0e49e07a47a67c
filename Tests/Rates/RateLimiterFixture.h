#pragma once

#include <Rates/RateLimiter.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Chervilpin::Rates::Testing {

/// The rate limiters of a simulated fleet in two data centres. A datagram takes one millisecond.
class RateLimiterFixture
{
public:
    static inline const Core::TeamName team{"team"};

    RateLimiterFixture(unsigned count, Sessions::TeamLimits limits)
    {
        for (unsigned i = 1; i <= count; ++i) {
            const std::string name = "n" + std::to_string(i);
            members.push_back(
                {Core::NodeName(name), Core::DataCentreName(i % 2 == 0 ? "dc-1" : "dc-2"), name});
        }
        for (const auto &member : members) {
            limiters[member.address] = std::make_unique<RateLimiter>(member);
            limiters[member.address]->setLimits({{team, limits}}, now);
        }
        updateMembers();
        advanceTime(Core::Duration(10'000));
    }

    void updateMembers()
    {
        for (const auto &[name, limiter] : limiters)
            limiter->setMembers(members, members.size(), now);
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
        OwnerTable table(members.front().dataCentre);
        table.setMembers(members);
        return table.ownersOf(team).owner->address;
    }

    Core::Instant now{100'000};
    std::vector<Member> members;
    std::map<std::string, std::unique_ptr<RateLimiter>> limiters;
    std::set<std::string> dead;
    std::vector<Decision> granted;
    std::vector<Decision> refused;
    unsigned datagrams = 0;
    Ticket nextTicket = 1;

private:
    struct Datagram
    {
        std::string to;
        std::variant<TokenRequest, TokenGrant> message;
    };

    void step()
    {
        for (auto &datagram : std::exchange(inFlight_, {})) {
            if (!dead.contains(datagram.to))
                deliver(datagram);
        }
        for (const auto &[name, limiter] : limiters) {
            if (now >= limiter->nextDeadline())
                limiter->advance(now);
            collect(name);
        }
    }

    void deliver(const Datagram &datagram)
    {
        RateLimiter &limiter = *limiters.at(datagram.to);
        if (const auto *request = std::get_if<TokenRequest>(&datagram.message)) {
            ++datagrams;
            inFlight_.push_back({request->replyTo, limiter.handleRequest(*request, now)});
        } else {
            limiter.handleGrant(std::get<TokenGrant>(datagram.message), now);
        }
    }

    void collect(const std::string &name)
    {
        for (const auto &decision : limiters.at(name)->takeDecisions())
            (decision.isGranted ? granted : refused).push_back(decision);
        for (auto &request : limiters.at(name)->takeRequests()) {
            ++datagrams;
            inFlight_.push_back({request.address, std::move(request.request)});
        }
    }

    std::vector<Datagram> inFlight_;
};

} // namespace Chervilpin::Rates::Testing
