#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Chervilpin::Sessions {

/// The databases that the platform's directory lists, and for a while those that it listed before.
///
/// An entry can be missing although its database lives: the directory drops entries while it is
/// out of reach of the databases. So a missing one is kept for a grace, unless it was draining.
class DirectoryView
{
public:
    /// Takes over the complete list.
    void replace(std::span<const DatabaseEntry>, Core::Instant now);
    void put(const DatabaseEntry &);
    void remove(const Core::DatabaseName &, Core::Instant now);

    /// The databases to count with. Forgets those whose grace is over.
    [[nodiscard]] std::vector<DatabaseEntry> entries(Core::Instant now);
    /// When the grace of a missing entry ends next.
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
/// brings a live one back, and short enough that its successor is ready within their bound of 7 s
/// for the use of a database that is gone.
constexpr Core::Duration missingEntryGracePeriod{3'000};

} // namespace Chervilpin::Sessions
