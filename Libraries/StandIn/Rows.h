#pragma once

#include <Core/LogMark.h>
#include <Core/Result.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Chervilpin::StandIn {

/// The rows of a stand-in database, as its log makes them.
class Rows
{
public:
    /// Runs writes as of one log position; either all of them take effect or none.
    /// Fails with InvalidArgument if one of them can't be run on the rows as they are.
    [[nodiscard]] Core::ErrorOr<void> apply(std::span<const std::string> writes, Core::LogPosition);

    /// The JSON text of a row, as seen after \a pending writes that aren't applied yet.
    [[nodiscard]] std::optional<std::string> read(std::string_view key,
                                                  std::span<const std::string> pending) const;

    void clear() { rows_.clear(); }

private:
    struct Row
    {
        std::string value;
        Core::LogPosition position = 0;
    };
    using RowMap = std::map<std::string, Row, std::less<>>;

    [[nodiscard]] Core::ErrorOr<RowMap> changedBy(std::span<const std::string> writes,
                                                  Core::LogPosition) const;
    [[nodiscard]] Row current(const RowMap &changed, const std::string &key) const;

    RowMap rows_;
};

} // namespace Chervilpin::StandIn
