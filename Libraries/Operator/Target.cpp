#include <Operator/Target.h>

#include <boost/url/parse.hpp>
#include <charconv>

namespace Chervilpin::Operator {

const std::string *Target::find(const std::string &name) const
{
    const auto place = query.find(name);
    return place == query.end() ? nullptr : &place->second;
}

Core::ErrorOr<std::uint64_t> Target::number(const std::string &name, std::uint64_t fallback) const
{
    const std::string *text = find(name);
    if (text == nullptr)
        return fallback;
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return Core::failure(Core::ErrorCode::InvalidArgument, name + " must be a whole number");
    return value;
}

Core::ErrorOr<Target> parseTarget(std::string_view text)
{
    const auto url = boost::urls::parse_origin_form(text);
    if (url.has_error())
        return Core::failure(Core::ErrorCode::InvalidArgument, "the path can't be read");
    Target target;
    for (const auto &segment : url->segments())
        target.segments.emplace_back(segment);
    for (const auto &parameter : url->params())
        target.query[std::string(parameter.key)] = std::string(parameter.value);
    return target;
}

} // namespace Chervilpin::Operator
