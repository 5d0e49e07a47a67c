#pragma once

#include <Configuration/LogCodec.h>
#include <Configuration/Settings.h>

#include <deque>

namespace Chervilpin::Configuration {

enum class AppendResult {
    Applied,     ///< It is in force now.
    AlreadyHeld, ///< It was in force before.
    Gap,         ///< Changes before it are missing.
    Forked,      ///< Another change bears its number, or it follows another log.
    Garbage,     ///< It can't be read.
};

/// The configuration in force on this node, with the last changes that led to it.
///
/// Its revision only grows. What was done since the last take() is reported by that.
class ChangeLog
{
public:
    /// What happened since the last take().
    struct Progress
    {
        std::vector<std::string> applied; ///< Texts of changes that came in force, in order.
        bool hasNewSnapshot = false;
        std::vector<Revision> forks;
    };

    ChangeLog(Guards guards, std::size_t heldChanges);

    [[nodiscard]] const SnapshotPointer &snapshot() const { return snapshot_; }
    [[nodiscard]] Revision revision() const { return snapshot_->revision(); }

    AppendResult append(std::string_view text);
    /// Takes over a whole configuration if it is newer; otherwise returns false.
    bool adopt(SnapshotPointer);

    /// The texts of the changes after a revision; nullopt if they are no longer held.
    [[nodiscard]] std::optional<std::vector<std::string>> textsAfter(Revision) const;
    /// The text of one change, or nullptr if it isn't held.
    [[nodiscard]] const std::string *text(Revision) const;
    /// The lowest revision whose text is held; revision() + 1 if none is.
    [[nodiscard]] Revision oldestHeld() const;

    /// Notes that another change with that number, or another log, was seen.
    void noteFork(Revision);

    [[nodiscard]] Progress take();

private:
    AppendResult compareWithHeld(const LoggedChange &);
    AppendResult apply(LoggedChange);

    Guards guards_;
    std::size_t heldChanges_ = 0;
    SnapshotPointer snapshot_;
    std::deque<std::string> texts_;
    Progress progress_;
};

} // namespace Chervilpin::Configuration
