#include <Configuration/ResourceCodec.h>

#include <Configuration/Credential.h>
#include <Configuration/FieldReader.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <cctype>
#include <charconv>
#include <limits>

namespace Chervilpin::Configuration {

namespace json = boost::json;

namespace {

constexpr std::uint64_t maxCount = 1'000'000'000;
constexpr std::uint64_t maxSlots = 10'000;
constexpr std::uint64_t maxWeight = 1'000;
constexpr std::size_t digestHexLength = 64;
constexpr std::size_t minSaltHexLength = 16;
constexpr std::string_view nameRemedy =
    "use at most 63 lower-case letters, digits, dots and hyphens, with a letter or digit at both "
    "ends";

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

std::string readName(FieldReader &reader, std::string_view field)
{
    std::string name = reader.text(field, Presence::Required);
    if (!name.empty() && !isName(name))
        reader.report(field, "is not a name", std::string(nameRemedy));
    return name;
}

std::uint32_t readCount(FieldReader &reader, std::string_view field, std::uint64_t minimum,
                        std::uint64_t maximum)
{
    return static_cast<std::uint32_t>(reader.number(field, Presence::Required, minimum, maximum));
}

void readDigest(FieldReader &reader, std::string &salt, std::string &digest)
{
    salt = reader.text("salt", Presence::Required);
    if (!salt.empty() && (salt.size() < minSaltHexLength || !fromHex(salt)))
        reader.report("salt", "must be at least 16 hexadecimal digits",
                      "make it with `chervilpinctl create-key`");
    digest = reader.text("digest", Presence::Required);
    if (!digest.empty() && (digest.size() != digestHexLength || !fromHex(digest)))
        reader.report("digest", "must be 64 hexadecimal digits",
                      "make it with `chervilpinctl create-key`; never write the secret itself");
    std::ranges::transform(digest, digest.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
}

TeamSpec readTeam(FieldReader &reader)
{
    TeamSpec spec;
    spec.half = Core::HalfName(readName(reader, "half"));
    spec.ratePerSecond = readCount(reader, "rate_per_second", 1, maxCount);
    spec.burst = readCount(reader, "burst", 1, maxCount);
    spec.weight =
        static_cast<std::uint32_t>(reader.number("weight", Presence::Optional, 1, maxWeight, 1));
    return spec;
}

KeySpec readKey(FieldReader &reader)
{
    KeySpec spec;
    spec.team = Core::TeamName(readName(reader, "team"));
    readDigest(reader, spec.salt, spec.digest);
    spec.isWithdrawn = reader.flag("is_withdrawn");
    return spec;
}

Database readDatabase(const json::value &value, const std::string &path, FieldErrors &errors)
{
    FieldReader reader(value, path, errors);
    Database database;
    database.name = Core::DatabaseName(readName(reader, "name"));
    database.address = reader.text("address", Presence::Required);
    if (!database.address.empty() && !isAddress(database.address))
        reader.report("address", "is not an IP number with a port", "write it like 10.0.0.1:5432");
    database.dataCentre = Core::DataCentreName(readName(reader, "data_centre"));
    database.isLeaving = reader.flag("is_leaving");
    reader.rejectUnknown();
    return database;
}

UpstreamGroupSpec readGroup(FieldReader &reader, FieldErrors &errors)
{
    UpstreamGroupSpec spec;
    spec.half = Core::HalfName(readName(reader, "half"));
    reader.list("databases", Presence::Required,
                [&](const json::value &value, const std::string &path) {
                    spec.databases.push_back(readDatabase(value, path, errors));
                });
    spec.slots = readCount(reader, "slots", 1, maxSlots);
    spec.maxConnections = readCount(reader, "max_connections", 1, maxSlots);
    return spec;
}

RouteSpec readRoute(FieldReader &reader, FieldErrors &errors)
{
    RouteSpec spec;
    spec.group = Core::GroupName(readName(reader, "group"));
    spec.isOpenToAll = reader.flag("is_open_to_all");
    reader.list("teams", Presence::Optional,
                [&](const json::value &value, const std::string &path) {
                    const json::string *name = value.if_string();
                    if (name == nullptr || !isName(*name))
                        errors.push_back({path, "is not a name", std::string(nameRemedy)});
                    else
                        spec.teams.emplace_back(std::string_view(*name));
                });
    return spec;
}

HalfSpec readHalf(FieldReader &reader)
{
    HalfSpec spec;
    spec.callerEndpoint = reader.text("caller_endpoint", Presence::Required);
    spec.capacityPerSecond = static_cast<std::uint32_t>(
        reader.number("capacity_per_second", Presence::Optional, 0, maxCount));
    return spec;
}

OperatorSpec readOperator(FieldReader &reader)
{
    OperatorSpec spec;
    readDigest(reader, spec.salt, spec.digest);
    spec.isWithdrawn = reader.flag("is_withdrawn");
    return spec;
}

Spec readFields(Kind kind, FieldReader &reader, FieldErrors &errors)
{
    switch (kind) {
    case Kind::Team:
        return readTeam(reader);
    case Kind::Key:
        return readKey(reader);
    case Kind::UpstreamGroup:
        return readGroup(reader, errors);
    case Kind::Route:
        return readRoute(reader, errors);
    case Kind::Half:
        return readHalf(reader);
    case Kind::Operator:
        return readOperator(reader);
    }
    return {};
}

json::object fieldsOf(const TeamSpec &spec)
{
    return {{"half", spec.half.value()},
            {"rate_per_second", spec.ratePerSecond},
            {"burst", spec.burst},
            {"weight", spec.weight}};
}

json::object fieldsOf(const KeySpec &spec)
{
    return {{"team", spec.team.value()},
            {"salt", spec.salt},
            {"digest", spec.digest},
            {"is_withdrawn", spec.isWithdrawn}};
}

json::object fieldsOf(const UpstreamGroupSpec &spec)
{
    json::array databases;
    for (const Database &database : spec.databases) {
        databases.push_back(json::object{{"name", database.name.value()},
                                         {"address", database.address},
                                         {"data_centre", database.dataCentre.value()},
                                         {"is_leaving", database.isLeaving}});
    }
    return {{"half", spec.half.value()},
            {"databases", std::move(databases)},
            {"slots", spec.slots},
            {"max_connections", spec.maxConnections}};
}

json::object fieldsOf(const RouteSpec &spec)
{
    json::array teams;
    for (const Core::TeamName &team : spec.teams)
        teams.emplace_back(team.value());
    return {{"group", spec.group.value()},
            {"is_open_to_all", spec.isOpenToAll},
            {"teams", std::move(teams)}};
}

json::object fieldsOf(const HalfSpec &spec)
{
    return {{"caller_endpoint", spec.callerEndpoint},
            {"capacity_per_second", spec.capacityPerSecond}};
}

json::object fieldsOf(const OperatorSpec &spec)
{
    return {{"salt", spec.salt}, {"digest", spec.digest}, {"is_withdrawn", spec.isWithdrawn}};
}

ChangeAction readAction(FieldReader &reader)
{
    const std::string action = reader.text("action", Presence::Optional);
    if (action == "delete")
        return ChangeAction::Delete;
    if (!action.empty() && action != "put")
        reader.report("action", "must be put or delete", "write put or delete");
    return ChangeAction::Put;
}

Kind readKind(FieldReader &reader)
{
    const std::string text = reader.text("kind", Presence::Required);
    const auto kind = kindFromString(text);
    if (!kind && !text.empty())
        reader.report("kind", "is not a known kind: " + text,
                      "use Team, Key, UpstreamGroup, Route, Half or Operator");
    return kind.value_or(Kind::Team);
}

} // namespace

FieldErrorsOr<json::value> parseDocument(std::string_view text)
{
    if (text.size() > maxDocumentBytes) {
        return tl::unexpected(
            FieldErrors{{"",
                         "is " + std::to_string(text.size()) + " bytes, more than "
                             + std::to_string(maxDocumentBytes),
                         "split it into several changes"}});
    }
    json::parse_options options;
    options.max_depth = maxDocumentDepth;
    boost::system::error_code problem;
    json::value value = json::parse(text, problem, {}, options);
    if (problem) {
        return tl::unexpected(
            FieldErrors{{"", "is not JSON: " + problem.message(), "correct the JSON text"}});
    }
    return value;
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength)
        return false;
    if (!isLetterOrDigit(text.front()) || !isLetterOrDigit(text.back()))
        return false;
    return std::ranges::all_of(text,
                               [](char c) { return isLetterOrDigit(c) || c == '-' || c == '.'; });
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool isBracketed = host.starts_with('[') && host.ends_with(']');
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address(host, problem);
    if (problem || address.is_v6() != isBracketed)
        return false;
    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const auto result = std::from_chars(portText.data(), end, port);
    return result.ec == std::errc() && result.ptr == end && port != 0;
}

Spec readSpec(Kind kind, const json::value &value, const std::string &path, FieldErrors &errors)
{
    FieldReader reader(value, path, errors);
    Spec spec = readFields(kind, reader, errors);
    reader.rejectUnknown();
    return spec;
}

json::object toJson(const Spec &spec)
{
    return std::visit([](const auto &alternative) { return fieldsOf(alternative); }, spec);
}

ResourceChange readResourceChange(const json::value &value, const std::string &path,
                                  FieldErrors &errors)
{
    const std::size_t errorsBefore = errors.size();
    FieldReader reader(value, path, errors);
    ResourceChange change;
    change.action = readAction(reader);
    change.id.kind = readKind(reader);
    change.id.name = readName(reader, "name");
    if (reader.raw("resource_version", Presence::Optional) != nullptr) {
        change.expectedVersion = reader.number("resource_version", Presence::Optional, 0,
                                               std::numeric_limits<std::uint64_t>::max());
    }
    const auto presence =
        change.action == ChangeAction::Put ? Presence::Required : Presence::Optional;
    const json::value *spec = reader.raw("spec", presence);
    reader.rejectUnknown();
    const bool canReadSpec = errors.size() == errorsBefore && spec != nullptr;
    if (canReadSpec && change.action == ChangeAction::Put)
        change.spec = readSpec(change.id.kind, *spec, toString(change.id) + ".spec", errors);
    return change;
}

json::object toJson(const ResourceChange &change)
{
    json::object object{
        {"action", change.action == ChangeAction::Put ? "put" : "delete"},
        {"kind", toString(change.id.kind)},
        {"name", change.id.name},
    };
    if (change.spec)
        object["spec"] = toJson(*change.spec);
    if (change.expectedVersion)
        object["resource_version"] = *change.expectedVersion;
    return object;
}

json::object toJson(const Resource &resource)
{
    return {{"kind", toString(resource.id.kind)},
            {"name", resource.id.name},
            {"spec", toJson(resource.spec)},
            {"resource_version", resource.version}};
}

} // namespace Chervilpin::Configuration
