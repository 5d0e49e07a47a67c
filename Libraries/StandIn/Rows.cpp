#include <StandIn/Rows.h>

#include <StandIn/StatementText.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Chervilpin::StandIn {

namespace {

Core::ErrorOr<std::string> sum(const std::string &value, std::int64_t amount)
{
    std::int64_t number = 0;
    const auto *end = value.data() + value.size();
    const auto result = std::from_chars(value.data(), end, number);
    const auto isNumber = result.ec == std::errc() && result.ptr == end;
    std::int64_t total = 0;
    if ((!isNumber && !value.empty()) || __builtin_add_overflow(number, amount, &total))
        return Core::failure(Core::ErrorCode::InvalidArgument, "the value can't be added to");
    return std::to_string(total);
}

Core::ErrorOr<std::string> valueAfter(const std::string &value, const StatementText &statement)
{
    switch (statement.verb) {
    case Verb::Put:
        return statement.value;
    case Verb::Append:
        return value + statement.value;
    case Verb::Add:
        return sum(value, statement.amount);
    case Verb::Get:
        break;
    }
    return Core::failure(Core::ErrorCode::InvalidArgument, "get is not a write");
}

} // namespace

Rows::Row Rows::current(const RowMap &changed, const std::string &key) const
{
    if (const auto found = changed.find(key); found != changed.end())
        return found->second;
    if (const auto found = rows_.find(key); found != rows_.end())
        return found->second;
    return {};
}

Core::ErrorOr<Rows::RowMap> Rows::changedBy(std::span<const std::string> writes,
                                            Core::LogPosition position) const
{
    RowMap changed;
    for (const auto &text : writes) {
        const auto statement = TRY(StatementText::create(text));
        auto value = TRY(valueAfter(current(changed, statement.key).value, statement));
        changed[statement.key] = Row{std::move(value), position};
    }
    return changed;
}

Core::ErrorOr<void> Rows::apply(std::span<const std::string> writes, Core::LogPosition position)
{
    auto changed = TRY(changedBy(writes, position));
    for (auto &[key, row] : changed)
        rows_[key] = std::move(row);
    return {};
}

std::optional<std::string> Rows::read(std::string_view key,
                                      std::span<const std::string> pending) const
{
    const std::string name(key);
    const auto changed = changedBy(pending, 0).value_or(RowMap());
    if (!changed.contains(name) && !rows_.contains(name))
        return std::nullopt;
    const auto row = current(changed, name);
    boost::json::object json;
    json["key"] = name;
    json["value"] = row.value;
    json["position"] = row.position;
    return boost::json::serialize(json);
}

} // namespace Chervilpin::StandIn
