#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Chervilpin::Sessions {

/// The databases that the platform's directory lists, and those that it listed until recently.
///
/// An entry can be missing although its database is running, since the directory drops entries
/// while the databases can't reach it. So a missing entry is kept for missingEntryGracePeriod,
/// unless its database was draining.
class DirectoryView
{
public:
    /// Applies the complete list.
    void replace(std::span<const DatabaseEntry>, Core::Instant now);
    void put(const DatabaseEntry &);
    void remove(const Core::DatabaseName &, Core::Instant now);

    /// The listed databases and the missing ones within their grace period. Removes the others.
    [[nodiscard]] std::vector<DatabaseEntry> entries(Core::Instant now);
    /// When the next grace period of a missing entry ends.
    [[nodiscard]] std::optional<Core::Instant> nextExpiry() const;

private:
    struct Listed
    {
        DatabaseEntry entry;
        std::optional<Core::Instant> missingSince;
    };

    std::map<Core::DatabaseName, Listed> listed_;
};

/// How long a missing entry is kept. Longer than the two seconds within which the users' platform
/// lists a running database again, and short enough that the successor of a database that is gone
/// is in use within the users' bound of 7 s.
constexpr Core::Duration missingEntryGracePeriod{3'000};

} // namespace Chervilpin::Sessions
