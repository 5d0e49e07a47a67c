#pragma once

#include <Tests/Configuration/FakeStore.h>

#include <Configuration/Manager.h>

#include <functional>
#include <map>
#include <memory>

namespace Chervilpin::Testing {

/// Several managers over one fake store and a message queue that may lose, double and reorder.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : random_(seed)
    { }

    /// Adds a node and starts it. \a adjust may change its settings.
    Configuration::Manager &add(const std::string &name,
                                const std::function<void(Configuration::Settings &)> &adjust = {});
    void remove(const std::string &name);
    [[nodiscard]] Configuration::Manager &node(const std::string &name);

    /// Lets time pass: every ten milliseconds a tick, replies and messages.
    void run(Core::Duration);
    void propose(const std::string &node, Configuration::Proposal);
    void deliver(const std::string &node, const Peer::Incoming &);

    [[nodiscard]] const Configuration::ProposalAnswer *answer(Configuration::ProposalId) const;
    [[nodiscard]] std::size_t events(Configuration::EventKind) const;
    [[nodiscard]] bool wentBack() const { return wentBack_; }
    [[nodiscard]] bool allAt(Configuration::Revision) const;

    FakeStore store;
    /// Chooses the fault of each call; none if unset.
    std::function<StoreFault(const std::string &node, const Platform::CallBody &)> fault;
    /// Whether a message from one node to another is lost; never if unset.
    std::function<bool(const std::string &from, const std::string &to)> isCut;
    unsigned lossPercent = 0;
    bool advertises = true; ///< Whether nodes tell each other their revisions every second.
    Core::Duration storeDelay{20};
    std::uint64_t calls = 0; ///< To the platform so far.

private:
    struct Node
    {
        std::unique_ptr<Configuration::Manager> manager;
        Configuration::Revision applied = 0;
        std::uint64_t life = 0;
    };
    struct PendingReply
    {
        Core::Instant due;
        std::string node;
        std::uint64_t life = 0;
        Platform::Call call;
        StoreFault fault = StoreFault::None;
        Core::Instant watchUntil;
    };
    struct PendingMessage
    {
        Core::Instant due;
        std::string from;
        Peer::Outgoing message;
    };

    void perform(const std::string &name, const Configuration::Actions &actions);
    void take(const std::string &name, const Platform::Call &);
    void take(const std::string &name, const Peer::Outgoing &);
    void take(const std::string &name, const Configuration::Apply &);
    void take(const std::string &name, const Configuration::ProposalAnswer &);
    void take(const std::string &name, const Configuration::Event &);
    void step();
    void deliverReplies();
    void deliverMessages();
    void advertise();
    void tellPeers();

    Core::Random random_;
    Core::Instant now_{1'000};
    std::map<std::string, Node> nodes_;
    std::vector<PendingReply> replies_;
    std::vector<PendingMessage> messages_;
    std::map<Configuration::ProposalId, Configuration::ProposalAnswer> answers_;
    std::map<Configuration::EventKind, std::size_t> events_;
    std::uint64_t lives_ = 0;
    bool wentBack_ = false;
};

/// A change that puts a half and a team of that rate.
[[nodiscard]] Configuration::Proposal putTeam(Configuration::ProposalId, const std::string &name,
                                              std::uint32_t rate);

} // namespace Chervilpin::Testing
