#include <Utilities/chervilpinctl/ResourceFile.h>

#include <Configuration/ResourceCodec.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <toml++/toml.h>

namespace Chervilpin::Control {

namespace json = boost::json;

namespace {

using Places = std::map<std::string, Location>;

constexpr std::string_view listName = "resource";

LocatedErrors single(Location location, std::string problem, std::string remedy)
{
    return {{std::move(location), {"", std::move(problem), std::move(remedy)}}};
}

/// Turns TOML into JSON and notes the line of each field.
class TomlReader
{
public:
    TomlReader(const std::string &file, Places &places)
        : file_(file)
        , places_(places)
    { }

    json::value read(const toml::node &node, const std::string &path)
    {
        places_[path] = {file_, static_cast<unsigned>(node.source().begin.line)};
        if (const auto *table = node.as_table())
            return readTable(*table, path);
        if (const auto *array = node.as_array())
            return readArray(*array, path);
        if (const auto *text = node.as_string())
            return json::value(text->get());
        if (const auto *integer = node.as_integer())
            return json::value(integer->get());
        if (const auto *flag = node.as_boolean())
            return json::value(flag->get());
        if (const auto *number = node.as_floating_point())
            return json::value(number->get());
        return nullptr;
    }

private:
    json::value readTable(const toml::table &table, const std::string &path)
    {
        json::object object;
        for (const auto &[key, node] : table) {
            std::string field = path;
            if (!path.empty())
                field += ".";
            field += key.str();
            object[key.str()] = read(node, field);
        }
        return object;
    }

    json::value readArray(const toml::array &array, const std::string &path)
    {
        json::array list;
        std::size_t index = 0;
        for (const toml::node &node : array) {
            list.push_back(read(node, path + "[" + std::to_string(index) + "]"));
            ++index;
        }
        return list;
    }

    const std::string &file_;
    Places &places_;
};

tl::expected<json::value, LocatedErrors> readToml(const std::string &file, std::string_view text,
                                                  Places &places)
{
    try {
        const toml::table table = toml::parse(text, file);
        return TomlReader(file, places).read(table, "");
    } catch (const toml::parse_error &error) {
        const auto line = static_cast<unsigned>(error.source().begin.line);
        return tl::unexpected(single({file, line},
                                     "is not TOML: " + std::string(error.description()),
                                     "correct the text at that line"));
    }
}

/// The line of the first text `"name": "<name>"` from an offset on; moves the offset past it.
unsigned findNameLine(std::string_view text, const std::string &name, std::size_t &offset)
{
    const std::string quoted = "\"" + name + "\"";
    const std::size_t place = text.find(quoted, offset);
    if (place == std::string_view::npos)
        return 0;
    offset = place + quoted.size();
    return 1
        + static_cast<unsigned>(
               std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(place), '\n'));
}

/// JSON gives no places, so a resource is found by its name.
void placeJsonResources(const std::string &file, std::string_view text, const json::array &list,
                        Places &places)
{
    std::size_t offset = 0;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const json::object *object = list[i].if_object();
        const json::value *name = object == nullptr ? nullptr : object->if_contains("name");
        const bool isNamed = name != nullptr && name->is_string();
        const unsigned line =
            isNamed ? findNameLine(text, std::string(name->get_string()), offset) : 0;
        places[std::string(listName) + "[" + std::to_string(i) + "]"] = {file, line};
    }
}

/// The list of resources in a document, or nullptr.
const json::array *findList(const json::value &document)
{
    if (const json::array *list = document.if_array())
        return list;
    const json::object *object = document.if_object();
    const json::value *list = object == nullptr ? nullptr : object->if_contains(listName);
    return list == nullptr ? nullptr : list->if_array();
}

std::string labelOf(const json::value &item, std::size_t index)
{
    Configuration::FieldErrors ignored;
    const auto change = Configuration::readResourceChange(item, "", ignored);
    if (change.id.name.empty())
        return "changes[" + std::to_string(index) + "]";
    return toString(change.id);
}

} // namespace

std::string toString(const LocatedError &located)
{
    std::string text = located.location.file;
    if (located.location.line != 0)
        text += ":" + std::to_string(located.location.line);
    if (!text.empty())
        text += ": ";
    if (!located.error.path.empty())
        text += located.error.path + ": ";
    return text + located.error.problem + " (" + located.error.remedy + ")";
}

tl::expected<void, LocatedErrors> ResourceSet::add(const std::string &file, std::string_view text)
{
    Places places;
    const bool isJson = file.ends_with(".json");
    json::value document;
    if (isJson) {
        auto parsed = Configuration::parseDocument(text);
        if (!parsed) {
            const auto &error = parsed.error().front();
            return tl::unexpected(single({file, 0}, error.problem, error.remedy));
        }
        document = std::move(*parsed);
    } else {
        auto parsed = readToml(file, text, places);
        if (!parsed)
            return tl::unexpected(parsed.error());
        document = std::move(*parsed);
    }
    const json::array *list = findList(document);
    if (list == nullptr) {
        return tl::unexpected(
            single({file, 1}, "holds no list of resources",
                   "write each resource as [[resource]] with kind, name and spec"));
    }
    if (isJson)
        placeJsonResources(file, text, *list, places);
    for (std::size_t i = 0; i < list->size(); ++i) {
        const std::string prefix = std::string(listName) + "[" + std::to_string(i) + "]";
        Places own;
        for (const auto &[path, place] : places) {
            const bool isInside = path.starts_with(prefix)
                && (path.size() == prefix.size() || path[prefix.size()] == '.');
            if (isInside)
                own[path.substr(prefix.size())] = place;
        }
        addItem((*list)[i], own);
    }
    return {};
}

/// Errors name a resource by its label or, where it has none, by its place in the change.
void ResourceSet::addItem(json::value item, const Places &places)
{
    const std::size_t index = items_.size();
    const std::string label = labelOf(item, index);
    for (const auto &[path, place] : places) {
        places_[label + path] = place;
        places_["changes[" + std::to_string(index) + "]" + path] = place;
    }
    items_.push_back(std::move(item));
}

LocatedErrors ResourceSet::check() const
{
    Configuration::FieldErrors errors;
    for (std::size_t i = 0; i < items_.size(); ++i) {
        (void)Configuration::readResourceChange(items_[i], "changes[" + std::to_string(i) + "]",
                                                errors);
    }
    LocatedErrors located;
    for (const Configuration::FieldError &error : errors)
        located.push_back(locate(error));
    return located;
}

LocatedError ResourceSet::locate(const Configuration::FieldError &error) const
{
    std::string path = error.path;
    while (!path.empty()) {
        const auto place = places_.find(path);
        if (place != places_.end())
            return {place->second, error};
        const std::size_t cut = path.find_last_of(".[");
        if (cut == std::string::npos)
            break;
        path.resize(cut);
    }
    return {{}, error};
}

} // namespace Chervilpin::Control
