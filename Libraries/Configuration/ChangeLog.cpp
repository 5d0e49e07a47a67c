#include <Configuration/ChangeLog.h>

#include <utility>

namespace Chervilpin::Configuration {

ChangeLog::ChangeLog(Guards guards, std::size_t heldChanges)
    : guards_(guards)
    , heldChanges_(heldChanges)
    , snapshot_(Snapshot::empty())
{ }

AppendResult ChangeLog::append(std::string_view text)
{
    auto logged = decodeChange(text);
    if (!logged)
        return AppendResult::Garbage;
    if (logged->change.revision <= revision())
        return compareWithHeld(*logged);
    if (logged->change.revision > revision() + 1)
        return AppendResult::Gap;
    return apply(std::move(*logged));
}

AppendResult ChangeLog::compareWithHeld(const LoggedChange &logged)
{
    const std::string *held = text(logged.change.revision);
    if (held == nullptr || *held == logged.text)
        return AppendResult::AlreadyHeld;
    noteFork(logged.change.revision);
    return AppendResult::Forked;
}

AppendResult ChangeLog::apply(LoggedChange logged)
{
    if (guards_.checksChain && logged.change.previousDigest != snapshot_->digest()) {
        noteFork(logged.change.revision);
        return AppendResult::Forked;
    }
    const std::uint64_t digest = extendDigest(snapshot_->digest(), logged.text);
    snapshot_ = snapshot_->after(logged.change, digest);
    progress_.applied.push_back(logged.text);
    progress_.hasNewSnapshot = true;
    texts_.push_back(std::move(logged.text));
    if (texts_.size() > heldChanges_)
        texts_.pop_front();
    return AppendResult::Applied;
}

void ChangeLog::noteFork(Revision revision)
{
    progress_.forks.push_back(revision);
}

bool ChangeLog::adopt(SnapshotPointer snapshot)
{
    if (guards_.neverGoesBack && snapshot->revision() <= revision())
        return false;
    snapshot_ = std::move(snapshot);
    texts_.clear();
    progress_.hasNewSnapshot = true;
    return true;
}

std::optional<std::vector<std::string>> ChangeLog::textsAfter(Revision after) const
{
    if (after + 1 < oldestHeld())
        return std::nullopt;
    std::vector<std::string> texts;
    for (Revision next = after + 1; next <= revision(); ++next)
        texts.push_back(*text(next));
    return texts;
}

const std::string *ChangeLog::text(Revision number) const
{
    if (number < oldestHeld() || number > revision())
        return nullptr;
    return &texts_[number - oldestHeld()];
}

Revision ChangeLog::oldestHeld() const
{
    return revision() + 1 - texts_.size();
}

ChangeLog::Progress ChangeLog::take()
{
    return std::exchange(progress_, {});
}

} // namespace Chervilpin::Configuration
