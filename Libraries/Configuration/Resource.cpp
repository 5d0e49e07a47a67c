#include <Configuration/Resource.h>

#include <algorithm>
#include <cctype>

namespace Chervilpin::Configuration {

namespace {

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

std::string_view toString(Kind kind)
{
    switch (kind) {
    case Kind::Team:
        return "Team";
    case Kind::Key:
        return "Key";
    case Kind::UpstreamGroup:
        return "UpstreamGroup";
    case Kind::Route:
        return "Route";
    case Kind::Half:
        return "Half";
    case Kind::Operator:
        return "Operator";
    }
    return "";
}

std::optional<Kind> kindFromString(std::string_view text)
{
    for (const Kind kind : allKinds) {
        if (equalIgnoringCase(toString(kind), text))
            return kind;
    }
    return std::nullopt;
}

std::string toString(const ResourceId &id)
{
    return std::string(toString(id.kind)) + "/" + id.name;
}

} // namespace Chervilpin::Configuration
