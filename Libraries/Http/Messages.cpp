#include <Http/Messages.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <span>

namespace Chervilpin::Http {

namespace {

std::string_view find(std::span<const Field> fields, std::string_view name)
{
    const auto found = std::ranges::find_if(
        fields, [name](const Field &field) { return boost::beast::iequals(field.name, name); });
    if (found == fields.end())
        return {};
    return found->value;
}

} // namespace

std::string_view Request::field(std::string_view name) const
{
    return find(fields, name);
}

std::string_view Response::field(std::string_view name) const
{
    return find(fields, name);
}

} // namespace Chervilpin::Http
