#include <Configuration/Proposal.h>

#include <algorithm>
#include <set>

namespace Chervilpin::Configuration {

namespace {

FieldErrors findDuplicates(const Proposal &proposal)
{
    FieldErrors errors;
    std::set<ResourceId> seen;
    for (const ResourceChange &item : proposal.items) {
        if (!seen.insert(item.id).second)
            errors.push_back({toString(item.id), "is changed twice", "keep one of the two"});
    }
    if (proposal.items.empty())
        errors.push_back({"changes", "is empty", "list at least one change"});
    return errors;
}

FieldErrors findMissing(const Proposal &proposal, const Snapshot &snapshot)
{
    FieldErrors errors;
    for (const ResourceChange &item : proposal.items) {
        if (item.action == ChangeAction::Delete && snapshot.find(item.id) == nullptr)
            errors.push_back({toString(item.id), "doesn't exist", "leave out its deletion"});
    }
    return errors;
}

bool isOutdated(const Proposal &proposal, const ResourceChange &item, Revision version)
{
    if (item.expectedVersion)
        return *item.expectedVersion != version;
    return proposal.baseRevision && version > *proposal.baseRevision;
}

FieldErrors findConflicts(const Proposal &proposal, const Snapshot &snapshot)
{
    FieldErrors errors;
    for (const ResourceChange &item : proposal.items) {
        const Resource *resource = snapshot.find(item.id);
        const Revision version = resource == nullptr ? 0 : resource->version;
        if (!isOutdated(proposal, item, version))
            continue;
        errors.push_back({toString(item.id) + ".resource_version",
                          version == 0
                              ? "doesn't exist any more"
                              : "was changed meanwhile; its version is " + std::to_string(version),
                          "read it again and repeat your change on what is there now"});
    }
    return errors;
}

ProposalAnswer answerWith(const Proposal &proposal, const Snapshot &snapshot,
                          ProposalOutcome outcome, FieldErrors errors, std::string message)
{
    return {proposal.id, outcome, snapshot.revision(), std::move(errors), "", std::move(message)};
}

} // namespace

ProposalAnswer checkProposal(const Proposal &proposal, const Snapshot &snapshot,
                             const Capacity &capacity, const Guards &guards)
{
    auto errors = findDuplicates(proposal);
    if (!errors.empty())
        return answerWith(proposal, snapshot, ProposalOutcome::Refused, std::move(errors),
                          "the change contradicts itself");
    if (guards.checksVersions)
        errors = findConflicts(proposal, snapshot);
    if (!errors.empty())
        return answerWith(proposal, snapshot, ProposalOutcome::Conflict, std::move(errors),
                          "somebody else changed the same resources first");
    errors = findMissing(proposal, snapshot);
    if (errors.empty()) {
        const Change change = changeFor(proposal, snapshot);
        errors = validate(*snapshot.after(change, 0), capacity);
    }
    if (!errors.empty())
        return answerWith(proposal, snapshot, ProposalOutcome::Refused, std::move(errors),
                          "the configuration as a whole would not be valid");
    return answerWith(proposal, snapshot, ProposalOutcome::Accepted, {}, "");
}

bool changesNothing(const Proposal &proposal, const Snapshot &snapshot)
{
    return std::ranges::all_of(proposal.items, [&](const ResourceChange &item) {
        const Resource *resource = snapshot.find(item.id);
        if (item.action == ChangeAction::Delete)
            return resource == nullptr;
        return resource != nullptr && resource->spec == *item.spec;
    });
}

Change changeFor(const Proposal &proposal, const Snapshot &snapshot)
{
    return {snapshot.revision() + 1, snapshot.digest(), proposal.nonce, proposal.author,
            proposal.items};
}

} // namespace Chervilpin::Configuration
