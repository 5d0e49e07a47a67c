#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Chervilpin::Sessions {

/// The databases in the platform's directory, including entries that disappeared from it recently.
///
/// Each database maintains its own entry, so an entry can disappear although its database is alive:
/// the directory drops it while the database cannot reach the directory. So a missing entry is kept
/// for missingEntryGracePeriod, unless it was draining.
class DirectoryView
{
public:
    /// Replaces the complete list.
    void replace(std::span<const DatabaseEntry>, Core::Instant now);
    void put(const DatabaseEntry &);
    void remove(const Core::DatabaseName &, Core::Instant now);

    /// Returns the current entries, after removing those whose grace period is over.
    [[nodiscard]] std::vector<DatabaseEntry> entries(Core::Instant now);
    /// Returns the earliest end of a missing entry's grace period.
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
/// restores the entry of a live database, and short enough that a replacement is ready within the
/// users' limit of 7 s for the use of a database that is gone.
constexpr Core::Duration missingEntryGracePeriod{3'000};

} // namespace Chervilpin::Sessions
