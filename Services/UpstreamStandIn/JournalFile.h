#pragma once

#include <Core/Result.h>
#include <StandIn/DatabaseState.h>
#include <StandIn/LineFile.h>

#include <span>
#include <string>
#include <vector>

namespace Chervilpin::UpstreamStandIn {

/// Keeps a database's log and terms over a restart of its process: one JSON line a change.
class JournalFile
{
public:
    /// Opens or makes the file. Fails with Unavailable, or with InvalidArgument for a line that
    /// can't be read.
    [[nodiscard]] static Core::ErrorOr<JournalFile> create(const std::string &path);

    /// What was found in the file.
    [[nodiscard]] std::span<const StandIn::JournalRecord> records() const { return records_; }
    void append(std::span<const StandIn::JournalRecord>);

private:
    JournalFile(StandIn::LineFile file, std::vector<StandIn::JournalRecord> records)
        : file_(std::move(file))
        , records_(std::move(records))
    { }

    StandIn::LineFile file_;
    std::vector<StandIn::JournalRecord> records_;
};

} // namespace Chervilpin::UpstreamStandIn
