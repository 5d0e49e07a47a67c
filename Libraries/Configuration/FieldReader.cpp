#include <Configuration/FieldReader.h>

#include <utility>

namespace Chervilpin::Configuration {

namespace json = boost::json;

FieldReader::FieldReader(const json::value &value, std::string path, FieldErrors &errors)
    : object_(value.if_object())
    , path_(std::move(path))
    , errors_(errors)
{
    if (object_ == nullptr)
        errors_.push_back({path_, "must be an object", "write it as fields with values"});
}

std::string FieldReader::pathOf(std::string_view field) const
{
    return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
}

void FieldReader::report(std::string_view field, std::string problem, std::string remedy)
{
    errors_.push_back({pathOf(field), std::move(problem), std::move(remedy)});
}

const json::value *FieldReader::raw(std::string_view field, Presence presence)
{
    known_.emplace(field);
    if (object_ == nullptr)
        return nullptr;
    const json::value *value = object_->if_contains(field);
    if (value == nullptr && presence == Presence::Required)
        report(field, "is missing", "add the field");
    return value;
}

std::string FieldReader::text(std::string_view field, Presence presence)
{
    const json::value *value = raw(field, presence);
    if (value == nullptr)
        return {};
    if (!value->is_string()) {
        report(field, "must be a text", "write it in quotes");
        return {};
    }
    if (value->get_string().empty() && presence == Presence::Required)
        report(field, "must not be empty", "give it a value");
    return std::string(value->get_string());
}

std::uint64_t FieldReader::number(std::string_view field, Presence presence, std::uint64_t minimum,
                                  std::uint64_t maximum, std::uint64_t fallback)
{
    const json::value *value = raw(field, presence);
    if (value == nullptr)
        return fallback;
    boost::system::error_code conversion;
    const auto number = value->to_number<std::uint64_t>(conversion);
    if (conversion) {
        report(field, "must be a whole number", "write digits without quotes");
        return fallback;
    }
    if (number < minimum || number > maximum) {
        report(field,
               "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                   + ", is " + std::to_string(number),
               "choose a number in that range");
        return fallback;
    }
    return number;
}

bool FieldReader::flag(std::string_view field)
{
    const json::value *value = raw(field, Presence::Optional);
    if (value == nullptr)
        return false;
    if (!value->is_bool()) {
        report(field, "must be true or false", "write true or false without quotes");
        return false;
    }
    return value->get_bool();
}

void FieldReader::list(std::string_view field, Presence presence,
                       const std::function<void(const json::value &, const std::string &)> &read)
{
    const json::value *value = raw(field, presence);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        report(field, "must be a list", "write it as [ ... ]");
        return;
    }
    std::size_t index = 0;
    for (const json::value &element : value->get_array()) {
        read(element, pathOf(field) + "[" + std::to_string(index) + "]");
        ++index;
    }
}

void FieldReader::rejectUnknown()
{
    if (object_ == nullptr)
        return;
    for (const auto &member : *object_) {
        if (!known_.contains(std::string_view(member.key())))
            report(member.key(), "is not a known field", "remove it or correct its spelling");
    }
}

} // namespace Chervilpin::Configuration
