#include <Operator/RequestReader.h>

#include <Configuration/FieldReader.h>

#include <limits>

namespace Chervilpin::Operator {

namespace {

using Configuration::FieldErrors;
using Configuration::FieldErrorsOr;
using Configuration::FieldReader;
using Configuration::Presence;

constexpr std::uint64_t anyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t maxNonceLength = 128;
constexpr std::size_t maxItems = 5'000;

std::string readNonce(FieldReader &reader, Presence presence)
{
    std::string nonce = reader.text("nonce", presence);
    if (nonce.size() > maxNonceLength)
        reader.report("nonce", "is longer than 128 characters", "use a shorter one");
    return nonce;
}

void checkCount(const ChangeRequest &request, FieldErrors &errors)
{
    if (request.proposal.items.size() > maxItems)
        errors.push_back({"changes", "has more than 5000 changes", "split it"});
}

} // namespace

FieldErrorsOr<ChangeRequest> readChanges(std::string_view body)
{
    const auto document = Configuration::parseDocument(body);
    if (!document)
        return tl::unexpected(document.error());
    FieldErrors errors;
    ChangeRequest request;
    FieldReader reader(*document, "", errors);
    reader.list("changes", Presence::Required,
                [&](const boost::json::value &item, const std::string &path) {
                    request.proposal.items.push_back(
                        Configuration::readResourceChange(item, path, errors));
                });
    request.proposal.nonce = readNonce(reader, Presence::Required);
    if (reader.flag("dry_run"))
        request.mode = RunMode::DryRun;
    if (reader.raw("base_revision", Presence::Optional) != nullptr) {
        request.proposal.baseRevision =
            reader.number("base_revision", Presence::Optional, 0, anyNumber);
    }
    reader.rejectUnknown();
    checkCount(request, errors);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return request;
}

FieldErrorsOr<ChangeRequest> readPut(const Configuration::ResourceId &id, std::string_view body)
{
    const auto document = Configuration::parseDocument(body);
    if (!document)
        return tl::unexpected(document.error());
    FieldErrors errors;
    ChangeRequest request;
    FieldReader reader(*document, toString(id), errors);
    Configuration::ResourceChange item{Configuration::ChangeAction::Put, id, std::nullopt,
                                       std::nullopt};
    if (const auto *spec = reader.raw("spec", Presence::Required))
        item.spec = Configuration::readSpec(id.kind, *spec, toString(id) + ".spec", errors);
    if (reader.raw("resource_version", Presence::Optional) != nullptr) {
        item.expectedVersion = reader.number("resource_version", Presence::Optional, 0, anyNumber);
    }
    request.proposal.nonce = readNonce(reader, Presence::Optional);
    if (reader.flag("dry_run"))
        request.mode = RunMode::DryRun;
    reader.rejectUnknown();
    if (!Configuration::isName(id.name))
        errors.push_back(
            {toString(id), "is not a name", "use lower-case letters, digits, - and ."});
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    request.proposal.items.push_back(std::move(item));
    return request;
}

FieldErrorsOr<ChangeRequest> readDelete(const Configuration::ResourceId &id, const Target &target)
{
    ChangeRequest request;
    Configuration::ResourceChange item{Configuration::ChangeAction::Delete, id, std::nullopt,
                                       std::nullopt};
    if (target.find("resource_version") != nullptr) {
        const auto version = target.number("resource_version", 0);
        if (!version) {
            return tl::unexpected(FieldErrors{
                {toString(id) + ".resource_version", version.error().message, "write digits"}});
        }
        item.expectedVersion = *version;
    }
    if (const std::string *nonce = target.find("nonce"))
        request.proposal.nonce = *nonce;
    request.proposal.items.push_back(std::move(item));
    return request;
}

} // namespace Chervilpin::Operator
