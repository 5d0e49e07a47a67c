#pragma once

#include <Configuration/Actions.h>
#include <Configuration/Settings.h>

namespace Chervilpin::Configuration {

/// What an operator asks for.
struct Proposal
{
    ProposalId id = 0;
    std::string nonce; ///< The same for retries of the same wish.
    std::string author;
    std::vector<ResourceChange> items;
    /// Resources that were changed after this revision conflict; nullopt if any will do.
    std::optional<Revision> baseRevision;
};

/// Checks a proposal against a configuration. The outcome is Accepted if it could be accepted now,
/// else Refused or Conflict with errors.
[[nodiscard]] ProposalAnswer checkProposal(const Proposal &, const Snapshot &, const Capacity &,
                                           const Guards &);

/// Whether accepting it would leave every resource as it is.
[[nodiscard]] bool changesNothing(const Proposal &, const Snapshot &);

/// The change that the log would hold for a proposal accepted on top of a configuration.
[[nodiscard]] Change changeFor(const Proposal &, const Snapshot &);

} // namespace Chervilpin::Configuration
