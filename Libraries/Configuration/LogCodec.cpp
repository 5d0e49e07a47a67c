#include <Configuration/LogCodec.h>

#include <Configuration/Credential.h>
#include <Configuration/FieldReader.h>
#include <Configuration/ResourceCodec.h>
#include <Core/Hash.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdio>
#include <limits>

namespace Chervilpin::Configuration {

namespace json = boost::json;

namespace {

constexpr std::uint64_t anyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t maxSnapshotBytes = 64UL * 1024UL * 1024;
constexpr int hexadecimal = 16;

std::string digestText(std::uint64_t digest)
{
    char buffer[17];
    std::snprintf(buffer, sizeof buffer, "%016llx", static_cast<unsigned long long>(digest));
    return buffer;
}

std::uint64_t readDigestField(FieldReader &reader, std::string_view field)
{
    const std::string text = reader.text(field, Presence::Required);
    std::uint64_t digest = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, digest, hexadecimal);
    if (result.ec != std::errc() || result.ptr != end)
        reader.report(field, "is not a digest", "write 16 hexadecimal digits");
    return digest;
}

std::string padded(std::uint64_t number, int width)
{
    char buffer[24];
    std::snprintf(buffer, sizeof buffer, "%0*llu", width, static_cast<unsigned long long>(number));
    return buffer;
}

tl::unexpected<Core::Error> asError(std::string_view what, const FieldErrors &errors)
{
    const FieldError &first = errors.front();
    return Core::failure(Core::ErrorCode::InvalidArgument,
                         std::string(what) + ": " + first.path + " " + first.problem);
}

Core::ErrorOr<json::value> parseBounded(std::string_view text, std::size_t maxBytes)
{
    json::parse_options options;
    options.max_depth = maxDocumentDepth;
    boost::system::error_code problem;
    if (text.size() > maxBytes)
        return Core::failure(Core::ErrorCode::InvalidArgument, "too large for the log");
    json::value value = json::parse(text, problem, {}, options);
    if (problem)
        return Core::failure(Core::ErrorCode::InvalidArgument, "not JSON: " + problem.message());
    return value;
}

Resource readResource(const json::value &value, const std::string &path, FieldErrors &errors)
{
    const ResourceChange change = readResourceChange(value, path, errors);
    return {change.id, change.spec.value_or(Spec()), change.expectedVersion.value_or(0)};
}

RememberedNonce readNonce(const json::value &value, const std::string &path, FieldErrors &errors)
{
    FieldReader reader(value, path, errors);
    RememberedNonce remembered;
    remembered.nonce = reader.text("nonce", Presence::Required);
    remembered.revision = reader.number("revision", Presence::Required, 0, anyNumber);
    return remembered;
}

} // namespace

std::string encodeChange(const Change &change)
{
    json::array items;
    for (const ResourceChange &item : change.items)
        items.push_back(toJson(item));
    return json::serialize(json::object{{"revision", change.revision},
                                        {"previous_digest", digestText(change.previousDigest)},
                                        {"nonce", change.nonce},
                                        {"author", change.author},
                                        {"changes", std::move(items)}});
}

Core::ErrorOr<LoggedChange> decodeChange(std::string_view text)
{
    // NOTE: A change holds what an operator sent, so twice its bound leaves room for the envelope.
    const json::value value = TRY(parseBounded(text, 2 * maxDocumentBytes));
    FieldErrors errors;
    FieldReader reader(value, "", errors);
    Change change;
    change.revision = reader.number("revision", Presence::Required, 1, anyNumber);
    change.previousDigest = readDigestField(reader, "previous_digest");
    change.nonce = reader.text("nonce", Presence::Required);
    change.author = reader.text("author", Presence::Optional);
    reader.list("changes", Presence::Required,
                [&](const json::value &item, const std::string &path) {
                    change.items.push_back(readResourceChange(item, path, errors));
                });
    if (!errors.empty())
        return asError("not a change", errors);
    return LoggedChange{std::move(change), std::string(text)};
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    json::array resources;
    for (const Resource &resource : snapshot.resources())
        resources.push_back(toJson(resource));
    json::array nonces;
    for (const RememberedNonce &remembered : snapshot.contents().nonces) {
        nonces.push_back(
            json::object{{"nonce", remembered.nonce}, {"revision", remembered.revision}});
    }
    return json::serialize(json::object{{"revision", snapshot.revision()},
                                        {"digest", digestText(snapshot.digest())},
                                        {"resources", std::move(resources)},
                                        {"nonces", std::move(nonces)}});
}

Core::ErrorOr<SnapshotPointer> decodeSnapshot(std::string_view text)
{
    const json::value value = TRY(parseBounded(text, maxSnapshotBytes));
    FieldErrors errors;
    FieldReader reader(value, "", errors);
    Snapshot::Contents contents;
    contents.revision = reader.number("revision", Presence::Required, 0, anyNumber);
    contents.digest = readDigestField(reader, "digest");
    reader.list("resources", Presence::Required,
                [&](const json::value &item, const std::string &path) {
                    contents.resources.push_back(readResource(item, path, errors));
                });
    reader.list("nonces", Presence::Required,
                [&](const json::value &item, const std::string &path) {
                    contents.nonces.push_back(readNonce(item, path, errors));
                });
    if (!errors.empty())
        return asError("not a snapshot", errors);
    return Snapshot::create(std::move(contents));
}

std::string encodeHead(const Head &head)
{
    return json::serialize(json::object{
        {"revision", head.revision}, {"parts", head.parts}, {"oldest_change", head.oldestChange}});
}

Core::ErrorOr<Head> decodeHead(std::string_view text)
{
    const json::value value = TRY(parseBounded(text, maxDocumentBytes));
    FieldErrors errors;
    FieldReader reader(value, "", errors);
    Head head;
    head.revision = reader.number("revision", Presence::Required, 0, anyNumber);
    head.parts = static_cast<std::uint32_t>(
        reader.number("parts", Presence::Required, 0, std::numeric_limits<std::uint32_t>::max()));
    head.oldestChange = reader.number("oldest_change", Presence::Required, 0, anyNumber);
    if (!errors.empty())
        return asError("not a head", errors);
    return head;
}

std::uint64_t extendDigest(std::uint64_t previous, std::string_view text)
{
    return Core::hashOf(text, previous);
}

std::string changeKey(Revision revision)
{
    return std::string(changePrefix) + padded(revision, 12);
}

std::string snapshotKey(Revision revision, std::uint32_t part)
{
    return "config/snapshot/" + padded(revision, 12) + "/" + padded(part, 4);
}

} // namespace Chervilpin::Configuration
