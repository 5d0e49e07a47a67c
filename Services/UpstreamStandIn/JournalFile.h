#pragma once

#include <Core/Result.h>
#include <StandIn/DatabaseState.h>

#include <span>
#include <string>
#include <vector>

namespace Chervilpin::UpstreamStandIn {

/// Keeps a database's log and terms over a restart of its process: one JSON line a change.
///
/// Lines are handed to the operating system before anything is answered. That outlives the process,
/// not the machine, which is all that a stand-in needs.
class JournalFile
{
public:
    /// Opens or makes the file. Fails with Unavailable, or with InvalidArgument for a line before
    /// the last that can't be read.
    [[nodiscard]] static Core::ErrorOr<JournalFile> create(const std::string &path);

    JournalFile(JournalFile &&) noexcept;
    JournalFile &operator=(JournalFile &&) = delete;
    JournalFile(const JournalFile &) = delete;
    JournalFile &operator=(const JournalFile &) = delete;
    ~JournalFile();

    /// What was found in the file.
    [[nodiscard]] std::span<const StandIn::JournalRecord> records() const { return records_; }
    void append(std::span<const StandIn::JournalRecord>);

private:
    JournalFile(int descriptor, std::vector<StandIn::JournalRecord> records)
        : descriptor_(descriptor)
        , records_(std::move(records))
    { }

    int descriptor_ = -1;
    std::vector<StandIn::JournalRecord> records_;
};

} // namespace Chervilpin::UpstreamStandIn
