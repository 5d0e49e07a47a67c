#include <Fleet/FleetView.h>

#include <Core/Hash.h>
#include <Core/Overloaded.h>

#include <set>

namespace Chervilpin::Fleet {

namespace {

/// Returns the record as it may be used. If it was written before the store came back from a copy,
/// it may be older than what the fleet agreed on afterwards, so nobody may use its primary before
/// the leader has found out which database leads.
PrimaryRecord withoutOutdatedPrimary(PrimaryRecord record, Revision revision)
{
    if (!record.era || *record.era == eraOf(revision))
        return record;
    record.phase = PrimaryPhase::Replacing;
    record.candidate = Core::DatabaseName();
    record.replaces = revision;
    record.isUnverified = true;
    return record;
}

} // namespace

std::vector<std::string> FleetView::replace(std::span<const StoredObject> objects, Revision listed)
{
    if (eraOf(listed) > era_)
        beginEra(eraOf(listed));
    // Primary records are kept: they are never deleted, and another proxy may have sent a newer one
    // than the list contains.
    members_.clear();
    leader_.reset();
    ++membersVersion_;
    return apply(objects);
}

void FleetView::beginEra(Era era)
{
    era_ = era;
    newestEra_ = std::max(newestEra_, era);
    std::erase_if(primaries_, [&](const auto &entry) {
        const auto &[group, primary] = entry;
        if (eraOf(primary.revision) >= era)
            return false;
        recordsSum_ -= Core::hashOf(group.view(), primary.revision);
        keepEarlier(primary);
        return true;
    });
}

void FleetView::keepEarlier(const Stored<PrimaryRecord> &primary)
{
    auto &earlier = earlierPrimaries_[primary.record.group];
    if (earlier.revision < primary.revision)
        earlier = primary;
}

std::vector<std::string> FleetView::apply(std::span<const StoredObject> changes)
{
    std::vector<std::string> unreadable;
    for (const auto &change : changes) {
        if (change.isDeleted) {
            remove(change.key, change.revision);
            continue;
        }
        const auto record = decode(change.key, change.text);
        if (record)
            put(*record, change.revision);
        else
            unreadable.push_back(change.key);
    }
    return unreadable;
}

bool FleetView::mergePrimary(const Stored<PrimaryRecord> &primary)
{
    const auto *known = findPrimary(primary.record.group);
    if (known && known->revision >= primary.revision)
        return false;
    if (eraOf(primary.revision) < era_) {
        keepEarlier(primary);
        return false;
    }
    if (known && eraOf(known->revision) < eraOf(primary.revision))
        keepEarlier(*known);
    newestEra_ = std::max(newestEra_, eraOf(primary.revision));
    // A sum of hashes doesn't depend on the order of the records.
    if (known)
        recordsSum_ -= Core::hashOf(primary.record.group.view(), known->revision);
    recordsSum_ += Core::hashOf(primary.record.group.view(), primary.revision);
    newestPrimary_ = std::max(newestPrimary_, primary.revision);
    primaries_[primary.record.group] = primary;
    return true;
}

void FleetView::recordWritten(const Record &record, Revision revision)
{
    put(record, revision);
}

void FleetView::put(const Record &record, Revision revision)
{
    std::visit(
        Core::Overloaded{[&](const MemberRecord &member) {
                             auto &known = members_[member.node];
                             if (known.revision >= revision)
                                 return;
                             known = {member, revision};
                             ++membersVersion_;
                         },
                         [&](const LeaderRecord &leader) {
                             if (leader_ && leader_->revision >= revision)
                                 return;
                             leader_ = {leader, revision};
                             ++membersVersion_;
                         },
                         [&](const PrimaryRecord &primary) {
                             mergePrimary({withoutOutdatedPrimary(primary, revision), revision});
                         }},
        record);
}

void FleetView::remove(const std::string &key, Revision revision)
{
    ++membersVersion_;
    std::erase_if(members_, [&](const auto &entry) {
        return memberKey(entry.first) == key && entry.second.revision <= revision;
    });
    if (leader_ && leaderKey() == key && leader_->revision <= revision)
        leader_.reset();
}

const Stored<MemberRecord> *FleetView::findMember(const Core::NodeName &node) const
{
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

const Stored<PrimaryRecord> *FleetView::findPrimary(const Core::GroupName &group) const
{
    const auto found = primaries_.find(group);
    return found == primaries_.end() ? nullptr : &found->second;
}

const Stored<PrimaryRecord> *FleetView::earlierPrimary(const Core::GroupName &group) const
{
    const auto found = earlierPrimaries_.find(group);
    return found == earlierPrimaries_.end() ? nullptr : &found->second;
}

bool FleetView::isMember(const Core::NodeName &node, Core::Incarnation incarnation) const
{
    const auto *member = findMember(node);
    return member && member->record.incarnation == incarnation && !member->record.isRetired;
}

} // namespace Chervilpin::Fleet
