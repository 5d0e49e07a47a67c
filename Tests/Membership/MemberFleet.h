#pragma once

#include <Membership/Manager.h>

#include <functional>
#include <map>
#include <memory>

namespace Chervilpin::Testing {

/// Simulates several nodes with membership managers, the platform's VM list and the network.
class MemberFleet
{
public:
    explicit MemberFleet(std::uint64_t seed)
        : random_(seed)
    { }

    using SettingsAdjustment = std::function<void(Membership::Settings &)>;
    /// Starts a node with a new incarnation, replacing a node of that name.
    Membership::Manager &add(const std::string &name,
                             const SettingsAdjustment &adjustSettings = {});
    /// Stops a node without announcing it.
    void kill(const std::string &name) { nodes_.erase(name); }
    /// Pauses a node: it gets no ticks, and its messages are delivered when it resumes.
    void pause(const std::string &name) { nodes_.at(name).isPaused = true; }
    void resume(const std::string &name) { nodes_.at(name).isPaused = false; }
    [[nodiscard]] Membership::Manager &node(const std::string &name)
    {
        return *nodes_.at(name).manager;
    }
    void run(Core::Duration);
    void perform(const std::string &name, const Membership::Actions &);
    void deliver(const std::string &name, const Peer::Incoming &);

    /// Whether all other nodes believe a member to have that health.
    [[nodiscard]] bool allReportHealth(const std::string &member, Membership::Health) const;
    /// Whether any other node believes a member to have that health.
    [[nodiscard]] bool anyReportsHealth(const std::string &member, Membership::Health) const;
    [[nodiscard]] bool areAllLive() const;
    [[nodiscard]] std::size_t events(Membership::EventKind) const;
    [[nodiscard]] Core::Instant now() const { return now_; }

    std::vector<Platform::Vm> listed; ///< The platform's VM list.
    bool isPlatformUnavailable = false;
    std::function<bool(const std::string &from, const std::string &to)> isPartitioned;
    unsigned lossPercent = 0;
    std::size_t listCalls = 0;

private:
    struct Node
    {
        std::unique_ptr<Membership::Manager> manager;
        bool isPaused = false;
    };
    struct PendingMessage
    {
        Core::Instant due;
        std::string from;
        Peer::Outgoing message;
    };

    void step();
    void execute(const std::string &name, const Platform::Call &);
    void execute(const std::string &name, const Peer::Outgoing &);
    void execute(const std::string &, const Membership::MemberChanged &) { }
    void execute(const std::string &, const Membership::PeerStatus &) { }
    void execute(const std::string &, const Membership::Event &);

    Core::Random random_;
    Core::Instant now_{1'000};
    std::map<std::string, Node> nodes_;
    std::vector<PendingMessage> messages_;
    std::map<Membership::EventKind, std::size_t> events_;
    Peer::Incarnation lastIncarnation_ = 0;
};

[[nodiscard]] Platform::Vm vm(const std::string &name);

} // namespace Chervilpin::Testing
