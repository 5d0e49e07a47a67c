#include <Utilities/chervilpinctl/Commands.h>

#include <Utilities/chervilpinctl/Secret.h>
#include <Utilities/chervilpinctl/Table.h>

#include <Configuration/Credential.h>
#include <Configuration/Resource.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace Chervilpin::Control {

namespace json = boost::json;

namespace {

constexpr std::size_t nonceBytes = 16;
constexpr std::size_t keyNameBytes = 6;
constexpr unsigned firstError = 300;
constexpr unsigned conflict = 409;
constexpr unsigned unavailable = 503;
constexpr unsigned outcomeUnknown = 504;
constexpr int watchMilliseconds = 3'000;
constexpr int watchAttempts = 5;
constexpr std::chrono::milliseconds watchPause(500);

ExitCode exitCodeFor(unsigned status)
{
    if (status < firstError)
        return ExitCode::Done;
    if (status == conflict)
        return ExitCode::Conflict;
    if (status == unavailable)
        return ExitCode::Unreachable;
    if (status == outcomeUnknown)
        return ExitCode::Unknown;
    return ExitCode::Refused;
}

std::string textOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr || !value->is_string() ? "" : std::string(value->get_string());
}

tl::expected<std::string, std::string> readFile(const std::string &name)
{
    std::ifstream stream(name, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream)
        return tl::unexpected(name + ": can't be read");
    return text.str();
}

std::string resourceTarget(const std::string &kind, const std::string &name)
{
    return "/v1/resources/" + kind + "/" + name;
}

/// Kind/name and version of each resource, with the resource.
using Listing = std::map<std::string, json::object>;

Listing listingOf(const json::object &body)
{
    Listing listing;
    const json::value *resources = body.if_contains("resources");
    if (resources == nullptr || !resources->is_array())
        return listing;
    for (const json::value &resource : resources->get_array()) {
        const json::object &object = resource.as_object();
        listing[textOf(object, "kind") + "/" + textOf(object, "name")] = object;
    }
    return listing;
}

std::string versionOf(const json::object &resource)
{
    const json::value *version = resource.if_contains("resource_version");
    return version == nullptr ? "" : plainText(*version);
}

/// Prints what differs between two listings; returns how many resources do.
unsigned printChanges(std::ostream &stream, const Listing &before, const Listing &after)
{
    unsigned count = 0;
    for (const auto &[label, resource] : after) {
        const auto old = before.find(label);
        const bool isNew = old == before.end();
        if (!isNew && versionOf(old->second) == versionOf(resource))
            continue;
        const json::value *spec = resource.if_contains("spec");
        stream << (isNew ? "created " : "changed ") << label << " version " << versionOf(resource)
               << " " << (spec == nullptr ? "" : plainText(*spec)) << std::endl;
        ++count;
    }
    for (const auto &[label, resource] : before) {
        if (after.contains(label))
            continue;
        stream << "deleted " << label << std::endl;
        ++count;
    }
    return count;
}

} // namespace

tl::expected<ResourceSet, ExitCode> Commands::load(const std::vector<std::string> &files)
{
    ResourceSet set;
    for (const std::string &file : files) {
        const auto text = readFile(file);
        if (!text) {
            console_.err << text.error() << "\n";
            return tl::unexpected(ExitCode::Usage);
        }
        if (const auto added = set.add(file, *text); !added) {
            for (const LocatedError &error : added.error())
                console_.err << toString(error) << "\n";
            return tl::unexpected(ExitCode::Usage);
        }
    }
    const LocatedErrors errors = set.check();
    for (const LocatedError &error : errors)
        console_.err << toString(error) << "\n";
    if (!errors.empty())
        return tl::unexpected(ExitCode::Refused);
    return set;
}

/// Prints why a request failed, with the places of the fields; Done if it didn't.
ExitCode Commands::explain(const tl::expected<Response, Failure> &response, const ResourceSet &set)
{
    if (!response) {
        const bool isSent = response.error().kind == FailureKind::AnswerLost;
        console_.err << response.error().message
                     << (isSent ? "; the outcome is unknown, repeat it with the same --nonce" : "")
                     << "\n";
        return isSent ? ExitCode::Unknown : ExitCode::Unreachable;
    }
    const ExitCode code = exitCodeFor(response->status);
    if (code == ExitCode::Done)
        return code;
    const json::object *body = response->body.if_object();
    const json::value *wrapped = body == nullptr ? nullptr : body->if_contains("error");
    const json::object *error = wrapped == nullptr ? nullptr : wrapped->if_object();
    if (error == nullptr) {
        console_.err << "HTTP status " << response->status << "\n";
        return code;
    }
    console_.err << "error: " << textOf(*error, "message") << "\n";
    const json::value *errors = error->if_contains("errors");
    if (errors == nullptr || !errors->is_array())
        return code;
    for (const json::value &entry : errors->get_array()) {
        const json::object &field = entry.as_object();
        const LocatedError located =
            set.locate({textOf(field, "field"), textOf(field, "problem"), textOf(field, "remedy")});
        console_.err << toString(located) << "\n";
    }
    return code;
}

tl::expected<json::object, ExitCode> Commands::fetch(const std::string &target)
{
    const auto response = client_.send({"GET", target, ""});
    const ExitCode code = explain(response, ResourceSet());
    if (code == ExitCode::Done && response->body.is_object())
        return response->body.get_object();
    // A read changes nothing, so a lost answer leaves nothing unknown.
    return tl::unexpected(code == ExitCode::Unknown ? ExitCode::Unreachable : code);
}

/// Tries again while no server can be reached, as proxies are replaced during a long watch.
tl::expected<json::object, ExitCode> Commands::fetchPatiently(const std::string &target)
{
    auto body = fetch(target);
    for (int attempt = 1; attempt < watchAttempts; ++attempt) {
        const bool canRetry = !body && body.error() == ExitCode::Unreachable;
        if (!canRetry)
            return body;
        std::this_thread::sleep_for(watchPause);
        body = fetch(target);
    }
    return body;
}

ExitCode Commands::apply(const ApplyOptions &options)
{
    const auto set = load(options.files);
    if (!set)
        return set.error();
    return change(*set, options.nonce, options.isDryRun ? Mode::DryRun : Mode::Real);
}

ExitCode Commands::diff(const std::vector<std::string> &files)
{
    const auto set = load(files);
    return set ? change(*set, "", Mode::DryRun) : set.error();
}

ExitCode Commands::change(const ResourceSet &set, const std::string &nonce, Mode mode)
{
    json::object body{{"changes", set.items()}};
    if (nonce.empty()) {
        // What was changed after this look conflicts. A retry by hand has its nonce instead.
        const auto listing = fetch("/v1/resources?kind=Half");
        if (!listing)
            return listing.error();
        if (const json::value *revision = listing->if_contains("revision"))
            body["base_revision"] = *revision;
    }
    const auto made = nonce.empty() ? randomHex(nonceBytes) : Core::ErrorOr<std::string>(nonce);
    if (!made) {
        console_.err << made.error().message << "\n";
        return ExitCode::Unreachable;
    }
    body["nonce"] = *made;
    body["dry_run"] = mode == Mode::DryRun;
    const auto response = client_.sendUntilKnown({"POST", "/v1/changes", json::serialize(body)});
    const ExitCode code = explain(response, set);
    if (code == ExitCode::Unknown)
        console_.err << "nonce " << *made << "\n";
    if (code != ExitCode::Done)
        return code;
    if (console_.output == Output::Json) {
        console_.out << json::serialize(response->body) << "\n";
        return code;
    }
    const json::object &answer = response->body.as_object();
    printEffects(console_.out, answer.at("effects").as_array());
    console_.out << (mode == Mode::DryRun ? "checked against revision " : "accepted as revision ")
                 << plainText(answer.at("revision")) << "\n";
    return code;
}

ExitCode Commands::get(const std::string &kind, const std::string &name)
{
    if (!name.empty()) {
        const auto resource = fetch(resourceTarget(kind, name));
        if (!resource)
            return resource.error();
        if (console_.output == Output::Json)
            console_.out << json::serialize(*resource) << "\n";
        else
            printResources(console_.out, {*resource});
        return ExitCode::Done;
    }
    const auto listing = fetch("/v1/resources?kind=" + kind);
    if (!listing)
        return listing.error();
    if (console_.output == Output::Json)
        console_.out << json::serialize(*listing) << "\n";
    else
        printResources(console_.out, listing->at("resources").as_array());
    return ExitCode::Done;
}

ExitCode Commands::describe(const std::string &kind, const std::string &name)
{
    const auto resource = fetch(resourceTarget(kind, name));
    if (!resource)
        return resource.error();
    if (console_.output == Output::Json)
        console_.out << json::serialize(*resource) << "\n";
    else
        printResource(console_.out, *resource);
    return ExitCode::Done;
}

ExitCode Commands::watch(const WatchOptions &options)
{
    const std::string kind = options.kind.empty() ? "" : "&kind=" + options.kind;
    Listing before;
    std::string since = "0";
    unsigned seen = 0;
    bool isFirst = true;
    while (isFirst || options.changes == 0 || seen < options.changes) {
        const std::string wait = isFirst ? "0" : std::to_string(watchMilliseconds);
        std::string target = "/v1/watch?since=";
        target.append(since).append("&wait_ms=").append(wait).append(kind);
        const auto body = fetchPatiently(target);
        if (!body)
            return body.error();
        since = plainText(body->at("revision"));
        Listing after = listingOf(*body);
        if (console_.output == Output::Json)
            console_.out << json::serialize(*body) << std::endl;
        const unsigned changed =
            console_.output == Output::Json ? 0 : printChanges(console_.out, before, after);
        seen += isFirst ? 0 : changed;
        before = std::move(after);
        isFirst = false;
    }
    return ExitCode::Done;
}

ExitCode Commands::remove(const DeleteOptions &options)
{
    const auto nonce = randomHex(nonceBytes);
    if (!nonce) {
        console_.err << nonce.error().message << "\n";
        return ExitCode::Unreachable;
    }
    std::string target = resourceTarget(options.kind, options.name) + "?nonce=" + *nonce;
    if (options.resourceVersion)
        target += "&resource_version=" + std::to_string(*options.resourceVersion);
    const auto response = client_.sendUntilKnown({"DELETE", target, ""});
    const ExitCode code = explain(response, ResourceSet());
    if (code == ExitCode::Done)
        console_.out << "deleted " << options.kind << "/" << options.name << "\n";
    return code;
}

ExitCode Commands::status()
{
    const auto body = fetch("/v1/status");
    if (!body)
        return body.error();
    if (console_.output == Output::Json)
        console_.out << json::serialize(*body) << "\n";
    else
        printStatus(console_.out, *body);
    return ExitCode::Done;
}

ExitCode Commands::createKey(const std::string &team, const std::string &name)
{
    std::string chosen = name;
    if (chosen.empty()) {
        const auto random = randomHex(keyNameBytes);
        chosen = team + "-" + random.value_or("key");
    }
    return createCredential(Configuration::keyPrefix, "Key", chosen, {{"team", team}});
}

ExitCode Commands::createOperator(const std::string &name)
{
    return createCredential(Configuration::operatorPrefix, "Operator", name, {});
}

ExitCode Commands::createCredential(std::string_view prefix, const std::string &kind,
                                    const std::string &name, json::object spec)
{
    const auto credential = makeCredential(prefix, name);
    const auto nonce = randomHex(nonceBytes);
    if (!credential || !nonce) {
        console_.err << "the system gave no random numbers\n";
        return ExitCode::Unreachable;
    }
    spec["salt"] = credential->salt;
    spec["digest"] = credential->digest;
    // A resource version of 0 keeps it from replacing one that exists.
    const json::object item{
        {"kind", kind}, {"name", name}, {"spec", std::move(spec)}, {"resource_version", 0}};
    const json::object body{{"changes", json::array{item}}, {"nonce", *nonce}};
    const auto response = client_.sendUntilKnown({"POST", "/v1/changes", json::serialize(body)});
    const ExitCode code = explain(response, ResourceSet());
    if (code != ExitCode::Done) {
        console_.err << kind << "/" << name << " was not shown; delete it if it exists\n";
        return code;
    }
    if (console_.output == Output::Json)
        console_.out << json::serialize(
            json::object{{"name", name}, {"credential", credential->text}})
                     << "\n";
    else
        console_.out << credential->text << "\n";
    return code;
}

ExitCode Commands::makeOfflineOperator(const std::string &name)
{
    const auto credential = makeCredential(Configuration::operatorPrefix, name);
    if (!credential) {
        console_.err << credential.error().message << "\n";
        return ExitCode::Unreachable;
    }
    if (console_.output == Output::Json) {
        console_.out << json::serialize(json::object{{"credential", credential->text},
                                                     {"salt", credential->salt},
                                                     {"digest", credential->digest}})
                     << "\n";
        return ExitCode::Done;
    }
    console_.out << "credential " << credential->text << "\nsalt " << credential->salt
                 << "\ndigest " << credential->digest << "\n";
    return ExitCode::Done;
}

} // namespace Chervilpin::Control
