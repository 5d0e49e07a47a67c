#pragma once

#include <Core/Result.h>
#include <Losses/EventLine.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Losses {

/// Why a statement was not served.
enum class Cause {
    OverRate,           ///< The owner of the team's rate refused it.
    OverRateOfHolder,   ///< A holder of a share refused it, as the owner did not answer.
    NoRoom,             ///< It waited for a database until its queue timeout.
    PrimaryReplaced,    ///< The proxy had no lease of the primary.
    PrimaryUnreachable, ///< The primary did not answer the proxy.
    Evacuated,          ///< The data centre of the primary was being evacuated.
    OutsideRegions,     ///< No database was in a region in which it may be served.
    InDoubt,            ///< Its answer was lost.
    Aborted,            ///< Its transaction was rolled back.
    Timeout,            ///< The statement timeout passed while it ran.
    Other,
};

[[nodiscard]] std::string_view toString(Cause);

/// The columns by which losses can be counted.
enum class Column {
    Cause,
    Second,
    Node,
    Team,
    Route,
};

/// Fails with InvalidArgument if a name in the comma-separated list is unknown.
[[nodiscard]] Core::ErrorOr<std::vector<Column>> parseColumns(std::string_view list);

/// Returns the cause if the line tells of a statement that was not served.
[[nodiscard]] std::optional<Cause> causeOf(const EventLine &);

/// Counts unserved statements from the lines of a fleet's logs. Their number is exact as long as no
/// line was left out, which the processes count in a metric.
class LossReport
{
public:
    explicit LossReport(std::vector<Column> columns);

    void add(const EventLine &);
    /// The counts as CSV with a header, the highest first.
    [[nodiscard]] std::string toCsv() const;
    /// Mean times of the sampled statements that were done, as CSV: in the queue, and after it.
    [[nodiscard]] std::string timesToCsv() const;

private:
    std::vector<Column> columns_;
    std::map<std::vector<std::string>, std::uint64_t> counts_;
    std::uint64_t done_ = 0;
    std::int64_t queuedMilliseconds_ = 0;
    std::int64_t totalMilliseconds_ = 0;
};

} // namespace Chervilpin::Losses
