#pragma once

#include <Operator/Authenticator.h>
#include <Operator/Messages.h>
#include <Operator/RequestReader.h>

#include <Configuration/Manager.h>
#include <Membership/Manager.h>

#include <boost/json/object.hpp>
#include <map>

namespace Chervilpin::Operator {

struct Settings
{
    BootstrapCredential bootstrap;
    Core::Duration maxWatchWait{30'000};
    std::size_t maxWaiting = 256; ///< Requests that may wait for an answer at once.
};

/// Answers operators: from the configuration and the members known here, and through proposals.
///
/// An answer to a change says "accepted" only after the platform's log holds it.
class Handler
{
public:
    Handler(Settings settings, const Configuration::Manager &configuration,
            const Membership::Manager &membership, std::uint64_t seed);

    [[nodiscard]] Actions handle(const OperatorRequest &, Core::Instant now);
    /// The answer to a Propose.
    [[nodiscard]] Actions proposalAnswered(const Configuration::ProposalAnswer &,
                                           Core::Instant now);
    /// A newer configuration is in force; wakes the watches.
    [[nodiscard]] Actions configurationApplied(Core::Instant now);
    [[nodiscard]] Actions tick(Core::Instant now);

    /// What another part of the proxy observes of a resource; replaces a condition of its type.
    void setCondition(const Configuration::ResourceId &, const Condition &, Core::Instant now);

private:
    struct Watch
    {
        RequestId id = 0;
        Configuration::Revision since = 0;
        std::optional<Configuration::Kind> kind;
        Core::Instant until;
    };
    struct Waiting
    {
        RequestId id = 0;
        boost::json::array effects;
    };
    struct HeldCondition
    {
        Condition condition;
        Core::Instant since;
    };

    void route(const OperatorRequest &, const Target &, const Configuration::OperatorName &,
               Core::Instant now, Actions &);
    void handleResource(const OperatorRequest &, const Target &,
                        const Configuration::OperatorName &, Core::Instant now, Actions &);
    void handleResources(const OperatorRequest &, const Target &, Core::Instant now, Actions &);
    void handleWatch(const OperatorRequest &, const Target &, Core::Instant now, Actions &);
    void handleStatus(const OperatorRequest &, Actions &);
    void propose(RequestId, Configuration::FieldErrorsOr<ChangeRequest>,
                 const Configuration::OperatorName &, Actions &);
    void answerWatch(const Watch &, Core::Instant now, Actions &);

    [[nodiscard]] boost::json::object describe(const Configuration::Resource &,
                                               Core::Instant now) const;
    [[nodiscard]] boost::json::object listResources(std::optional<Configuration::Kind>,
                                                    Core::Instant now) const;
    [[nodiscard]] boost::json::array effectsOf(const Configuration::Proposal &) const;
    [[nodiscard]] Condition inForce(const Configuration::Resource &) const;

    Settings settings_;
    const Configuration::Manager &configuration_;
    const Membership::Manager &membership_;
    Core::Random random_;
    Configuration::ProposalId lastProposal_ = 0;
    std::map<Configuration::ProposalId, Waiting> waiting_;
    std::vector<Watch> watches_;
    std::map<Configuration::ResourceId, std::map<std::string, HeldCondition>> conditions_;
};

} // namespace Chervilpin::Operator
