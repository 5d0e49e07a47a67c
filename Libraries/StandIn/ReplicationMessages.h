#pragma once

#include <Core/LogMark.h>
#include <Core/Name.h>

#include <string>
#include <vector>

/// What databases of one group say to each other; the same as in Libraries/Wire/upstream.proto.
namespace Chervilpin::StandIn {

/// One entry of a database's log: the writes of one transaction.
struct LogEntry
{
    Core::LogMark mark;              ///< Its position, with the term of the primary that wrote it.
    std::vector<std::string> writes; ///< Empty in the entry that opens a term.

    bool operator==(const LogEntry &) const = default;
};

/// A replica asks the primary of a term for what follows one of its entries.
struct ReplicationPull
{
    Core::Term term = 0;
    Core::DatabaseName replica;
    Core::LogMark held;
};

/// The primary's answer to a pull.
struct ReplicationBatch
{
    Core::Term term = 0;
    /// The last common entry if there are entries, or else a lower place to ask from.
    Core::LogPosition after = 0;
    std::vector<LogEntry> entries;
    bool isRefused = false; ///< The database isn't the primary of the term.
    Core::Term knownTerm = 0;
};

} // namespace Chervilpin::StandIn
