#include <Losses/LossReport.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Chervilpin::Losses {

using Core::ErrorCode;
using Core::failure;

namespace {

struct CauseName
{
    Cause cause;
    std::string_view name;
};

constexpr std::array causeNames{
    CauseName{Cause::OverRate, "over_rate"},
    CauseName{Cause::OverRateOfHolder, "over_rate_of_holder"},
    CauseName{Cause::NoRoom, "no_room"},
    CauseName{Cause::PrimaryReplaced, "primary_replaced"},
    CauseName{Cause::PrimaryUnreachable, "primary_unreachable"},
    CauseName{Cause::Evacuated, "evacuated"},
    CauseName{Cause::OutsideRegions, "outside_regions"},
    CauseName{Cause::InDoubt, "in_doubt"},
    CauseName{Cause::Aborted, "aborted"},
    CauseName{Cause::Timeout, "timeout"},
    CauseName{Cause::Other, "other"},
};

struct ColumnName
{
    Column column;
    std::string_view name;
};

constexpr std::array columnNames{
    ColumnName{Column::Cause, "cause"}, ColumnName{Column::Second, "second"},
    ColumnName{Column::Node, "node"},   ColumnName{Column::Team, "team"},
    ColumnName{Column::Route, "route"},
};

/// Parts of the texts with which a proxy refuses statements.
struct RefusalText
{
    std::string_view part;
    Cause cause;
};

constexpr std::array refusalTexts{
    RefusalText{"no database had room", Cause::NoRoom},
    RefusalText{"may not use the primary", Cause::PrimaryReplaced},
    RefusalText{"doesn't answer this proxy", Cause::PrimaryUnreachable},
    RefusalText{"being evacuated", Cause::Evacuated},
    RefusalText{"no database is in a region", Cause::OutsideRegions},
};

Cause causeOfText(std::string_view text, std::string_view outcome)
{
    for (const auto &refusal : refusalTexts) {
        if (text.find(refusal.part) != std::string_view::npos)
            return refusal.cause;
    }
    if (outcome == "in_doubt")
        return Cause::InDoubt;
    if (outcome == "aborted")
        return Cause::Aborted;
    return outcome == "timeout" ? Cause::Timeout : Cause::Other;
}

std::string valueOf(Column column, const EventLine &line, Cause cause)
{
    switch (column) {
    case Column::Cause:
        return std::string(toString(cause));
    case Column::Second:
        // Up to the fraction of a second.
        return std::string(line.field("time").substr(0, line.field("time").find('.')));
    case Column::Node:
        return std::string(line.field("node"));
    case Column::Team:
        return std::string(line.field("team"));
    case Column::Route:
        break;
    }
    return std::string(line.field("route"));
}

std::int64_t integerField(const EventLine &line, std::string_view name)
{
    const std::string_view text = line.field(name);
    std::int64_t value = 0;
    // A field that is missing or damaged counts as 0.
    (void)std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::string_view toString(Cause cause)
{
    return std::ranges::find(causeNames, cause, &CauseName::cause)->name;
}

Core::ErrorOr<std::vector<Column>> parseColumns(std::string_view list)
{
    std::vector<Column> columns;
    while (!list.empty()) {
        const std::string_view name = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), name.size() + 1));
        const auto found = std::ranges::find(columnNames, name, &ColumnName::name);
        if (found == columnNames.end())
            return failure(ErrorCode::InvalidArgument,
                           "unknown column \"" + std::string(name)
                               + "\"; there are cause, second, node, team and route");
        columns.push_back(found->column);
    }
    return columns;
}

std::optional<Cause> causeOf(const EventLine &line)
{
    const std::string_view event = line.field("event");
    if (event == "refused_over_rate")
        // Older proxies name only the proxy that decided.
        return line.field("role") == "holder" ? Cause::OverRateOfHolder : Cause::OverRate;
    if (event == "refused_unservable")
        return causeOfText(line.field("text"), {});
    if (event == "statement_ended" && line.field("outcome") != "done")
        return causeOfText(line.field("text"), line.field("outcome"));
    return {};
}

LossReport::LossReport(std::vector<Column> columns)
    : columns_(std::move(columns))
{ }

void LossReport::add(const EventLine &line)
{
    if (const auto cause = causeOf(line)) {
        std::vector<std::string> key;
        key.reserve(columns_.size());
        for (const Column column : columns_)
            key.push_back(valueOf(column, line, *cause));
        ++counts_[std::move(key)];
        return;
    }
    if (line.field("event") != "statement_ended")
        return;
    ++done_;
    queuedMilliseconds_ += integerField(line, "queued_ms");
    totalMilliseconds_ += integerField(line, "ms");
}

std::string LossReport::toCsv() const
{
    std::vector<std::pair<std::vector<std::string>, std::uint64_t>> rows(counts_.begin(),
                                                                         counts_.end());
    std::ranges::stable_sort(rows, std::greater<>(), [](const auto &row) { return row.second; });
    std::string csv;
    for (const Column column : columns_)
        csv += std::string(std::ranges::find(columnNames, column, &ColumnName::column)->name) + ',';
    csv += "count\n";
    for (const auto &[key, count] : rows) {
        for (const auto &value : key)
            csv += value + ',';
        csv += std::to_string(count) + '\n';
    }
    return csv;
}

std::string LossReport::timesToCsv() const
{
    const auto mean = [this](std::int64_t sum) {
        return std::to_string(done_ == 0 ? 0 : sum / static_cast<std::int64_t>(done_));
    };
    return "sampled,queued_ms,after_queue_ms\n" + std::to_string(done_) + ','
        + mean(queuedMilliseconds_) + ',' + mean(totalMilliseconds_ - queuedMilliseconds_) + '\n';
}

} // namespace Chervilpin::Losses
