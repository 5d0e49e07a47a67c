#pragma once

#include <Rates/RateDesk.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Chervilpin::Rates::Testing {

/// The rate desks of a fleet in two data centres, whose datagrams take a millisecond.
class DeskFixture
{
public:
    static inline const Core::TeamName team{"team"};

    DeskFixture(unsigned count, Sessions::TeamLimits limits)
    {
        for (unsigned i = 1; i <= count; ++i) {
            const std::string name = "n" + std::to_string(i);
            members.push_back(
                {Core::NodeName(name), Core::DataCentreName(i % 2 == 0 ? "dc-1" : "dc-2"), name});
        }
        for (const auto &member : members) {
            desks[member.address] = std::make_unique<RateDesk>(member);
            desks[member.address]->setLimits({{team, limits}}, now);
        }
        tellMembers();
        pass(Core::Duration(10'000));
    }

    void tellMembers()
    {
        for (const auto &[name, desk] : desks)
            desk->setMembers(members, members.size(), now);
    }

    void pass(Core::Duration span)
    {
        const Core::Instant end = now + span;
        while (now < end) {
            now = now + Core::Duration(1);
            step();
        }
    }

    /// A caller of this proxy wants to start an operation.
    void want(const std::string &name)
    {
        desks.at(name)->take(team, nextTicket++, now);
        collect(name);
    }

    /// An operation that was granted here reached no database.
    void giveBack(const std::string &name)
    {
        desks.at(name)->giveBack(team, now);
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
    std::map<std::string, std::unique_ptr<RateDesk>> desks;
    std::set<std::string> dead;
    std::vector<Decision> granted;
    std::vector<Decision> refused;
    unsigned datagrams = 0;
    Ticket nextTicket = 1;

private:
    struct Datagram
    {
        std::string to;
        std::variant<Ask, Grant> message;
    };

    void step()
    {
        for (auto &datagram : std::exchange(underWay_, {})) {
            if (!dead.contains(datagram.to))
                deliver(datagram);
        }
        for (const auto &[name, desk] : desks) {
            if (now >= desk->nextDeadline())
                desk->advance(now);
            collect(name);
        }
    }

    void deliver(const Datagram &datagram)
    {
        RateDesk &desk = *desks.at(datagram.to);
        if (const auto *ask = std::get_if<Ask>(&datagram.message)) {
            ++datagrams;
            underWay_.push_back({ask->replyTo, desk.asked(*ask, now)});
        } else {
            desk.granted(std::get<Grant>(datagram.message), now);
        }
    }

    void collect(const std::string &name)
    {
        for (const auto &decision : desks.at(name)->takeDecisions())
            (decision.isGranted ? granted : refused).push_back(decision);
        for (auto &ask : desks.at(name)->takeAsks()) {
            ++datagrams;
            underWay_.push_back({ask.address, std::move(ask.ask)});
        }
    }

    std::vector<Datagram> underWay_;
};

} // namespace Chervilpin::Rates::Testing
