#include <Utilities/chervilpinctl/Table.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <ostream>
#include <set>

namespace Chervilpin::Control {

namespace json = boost::json;

namespace {

constexpr std::size_t columnGap = 2;
constexpr int fieldWidth = 22;

const json::object &objectOf(const json::object &parent, std::string_view name)
{
    static const json::object empty;
    const json::value *value = parent.if_contains(name);
    const json::object *object = value == nullptr ? nullptr : value->if_object();
    return object == nullptr ? empty : *object;
}

const json::array &arrayOf(const json::object &parent, std::string_view name)
{
    static const json::array empty;
    const json::value *value = parent.if_contains(name);
    const json::array *array = value == nullptr ? nullptr : value->if_array();
    return array == nullptr ? empty : *array;
}

std::string textOf(const json::object &parent, std::string_view name)
{
    const json::value *value = parent.if_contains(name);
    return value == nullptr ? "" : plainText(*value);
}

std::string labelOf(const json::object &resource)
{
    return textOf(resource, "kind") + "/" + textOf(resource, "name");
}

std::string inForceOf(const json::object &resource)
{
    for (const json::value &entry : arrayOf(objectOf(resource, "status"), "conditions")) {
        const json::object *condition = entry.if_object();
        if (condition != nullptr && textOf(*condition, "type") == "InForce")
            return textOf(*condition, "reason");
    }
    return "";
}

void printDifference(std::ostream &stream, const std::string &field, const json::value *before,
                     const json::value *after)
{
    const std::string old = before == nullptr ? "" : plainText(*before);
    const std::string now = after == nullptr ? "" : plainText(*after);
    if (old == now)
        return;
    if (before != nullptr)
        stream << "  - " << field << ": " << old << "\n";
    if (after != nullptr)
        stream << "  + " << field << ": " << now << "\n";
}

} // namespace

Table::Table(std::vector<std::string> heading)
{
    rows_.push_back(std::move(heading));
}

void Table::add(std::vector<std::string> row)
{
    rows_.push_back(std::move(row));
}

void Table::print(std::ostream &stream) const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto &row : rows_) {
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            const bool isLast = i + 1 == row.size();
            if (!isLast)
                line += std::string(widths[i] - row[i].size() + columnGap, ' ');
        }
        stream << line << "\n";
    }
}

std::string plainText(const json::value &value)
{
    if (const json::string *text = value.if_string())
        return std::string(*text);
    if (const json::array *array = value.if_array()) {
        std::string text;
        for (const json::value &element : *array)
            text += (text.empty() ? "" : ",") + plainText(element);
        return text;
    }
    if (const json::object *object = value.if_object()) {
        std::string text;
        for (const auto &member : *object)
            text += (text.empty() ? "" : " ") + std::string(member.key()) + "="
                + plainText(member.value());
        return "{" + text + "}";
    }
    return json::serialize(value);
}

void printResources(std::ostream &stream, const json::array &resources)
{
    std::vector<std::string> fields;
    for (const json::value &resource : resources) {
        for (const auto &member : objectOf(resource.as_object(), "spec")) {
            const std::string name(member.key());
            const bool isShown = name != "salt" && name != "digest";
            if (isShown && std::ranges::count(fields, name) == 0)
                fields.push_back(name);
        }
    }
    std::vector<std::string> heading{"KIND", "NAME", "VERSION", "IN FORCE"};
    for (std::string name : fields) {
        std::ranges::transform(name, name.begin(),
                               [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
        heading.push_back(std::move(name));
    }
    Table table(std::move(heading));
    for (const json::value &value : resources) {
        const json::object &resource = value.as_object();
        std::vector<std::string> row{textOf(resource, "kind"), textOf(resource, "name"),
                                     textOf(resource, "resource_version"), inForceOf(resource)};
        for (const std::string &name : fields)
            row.push_back(textOf(objectOf(resource, "spec"), name));
        table.add(std::move(row));
    }
    table.print(stream);
}

void printResource(std::ostream &stream, const json::object &resource)
{
    stream << labelOf(resource) << "\n";
    stream << std::left << "  " << std::setw(fieldWidth) << "resource_version"
           << textOf(resource, "resource_version") << "\n";
    for (const auto &member : objectOf(resource, "spec")) {
        stream << "  " << std::setw(fieldWidth) << std::string(member.key())
               << plainText(member.value()) << "\n";
    }
    const json::object &status = objectOf(resource, "status");
    stream << "  " << std::setw(fieldWidth) << "observed_generation"
           << textOf(status, "observed_generation") << "\n";
    for (const json::value &entry : arrayOf(status, "conditions")) {
        const json::object &condition = entry.as_object();
        stream << "  " << std::setw(fieldWidth) << textOf(condition, "type")
               << textOf(condition, "status") << " (" << textOf(condition, "reason")
               << "): " << textOf(condition, "message") << ", since "
               << textOf(condition, "since_ms") << " ms\n";
    }
}

void printEffects(std::ostream &stream, const json::array &effects)
{
    for (const json::value &value : effects) {
        const json::object &effect = value.as_object();
        stream << textOf(effect, "effect") << " " << labelOf(effect) << "\n";
        const json::object &before = objectOf(effect, "before");
        const json::object &after = objectOf(effect, "after");
        std::set<std::string> fields;
        for (const auto &member : before)
            fields.emplace(member.key());
        for (const auto &member : after)
            fields.emplace(member.key());
        for (const std::string &field : fields)
            printDifference(stream, field, before.if_contains(field), after.if_contains(field));
    }
}

void printStatus(std::ostream &stream, const json::object &status)
{
    stream << "revision " << textOf(status, "revision") << "\n\n";
    Table counts({"DATA CENTRE", "REVISION", "MEMBERS", "LAGGARDS"});
    for (const json::value &entry : arrayOf(status, "data_centres")) {
        const json::object &dataCentre = entry.as_object();
        std::string laggards;
        for (const json::value &laggard : arrayOf(dataCentre, "laggards"))
            laggards += (laggards.empty() ? "" : ",") + textOf(laggard.as_object(), "name");
        for (const json::value &count : arrayOf(dataCentre, "in_force")) {
            counts.add({textOf(dataCentre, "name"), textOf(count.as_object(), "revision"),
                        textOf(count.as_object(), "members"), laggards});
            laggards.clear();
        }
    }
    counts.print(stream);
    stream << "\n";
    Table members({"MEMBER", "DATA CENTRE", "ADDRESS", "HEALTH", "LEAVING", "LISTED"});
    for (const json::value &entry : arrayOf(status, "members")) {
        const json::object &member = entry.as_object();
        members.add({textOf(member, "name"), textOf(member, "data_centre"),
                     textOf(member, "peer_address"), textOf(member, "health"),
                     textOf(member, "is_leaving"), textOf(member, "is_listed")});
    }
    members.print(stream);
}

} // namespace Chervilpin::Control
