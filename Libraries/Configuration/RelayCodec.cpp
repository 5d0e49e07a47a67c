#include <Configuration/RelayCodec.h>

#include <configuration.pb.h>

namespace Chervilpin::Configuration {

namespace {

namespace wire = chervilpin::configuration;

constexpr std::uint32_t maxSnapshotParts = 4'096;

void fill(wire::RelayMessage &message, const RelayChanges &changes)
{
    for (const std::string &text : changes.texts)
        message.mutable_changes()->add_texts(text);
}

void fill(wire::RelayMessage &message, const RelayAdvert &advert)
{
    message.mutable_advert()->set_revision(advert.revision);
    message.mutable_advert()->set_digest(advert.digest);
}

void fill(wire::RelayMessage &message, const RelayFetch &fetch)
{
    message.mutable_fetch()->set_after(fetch.after);
}

void fill(wire::RelayMessage &message, const RelaySnapshotPart &part)
{
    auto *body = message.mutable_snapshot_part();
    body->set_revision(part.revision);
    body->set_index(part.index);
    body->set_count(part.count);
    body->set_text(part.text);
}

Core::ErrorOr<RelayMessage> readPart(const wire::SnapshotPart &part)
{
    const bool isSensible =
        part.count() > 0 && part.count() <= maxSnapshotParts && part.index() < part.count();
    if (!isSensible)
        return Core::failure(Core::ErrorCode::InvalidArgument, "snapshot part out of range");
    return RelaySnapshotPart{part.revision(), part.index(), part.count(), part.text()};
}

} // namespace

std::string encodeRelayMessage(const RelayMessage &message)
{
    wire::RelayMessage encoded;
    std::visit([&](const auto &body) { fill(encoded, body); }, message);
    return encoded.SerializeAsString();
}

Core::ErrorOr<RelayMessage> decodeRelayMessage(std::string_view payload)
{
    wire::RelayMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return Core::failure(Core::ErrorCode::InvalidArgument, "not a relay message");
    switch (message.body_case()) {
    case wire::RelayMessage::kChanges:
        return RelayChanges{{message.changes().texts().begin(), message.changes().texts().end()}};
    case wire::RelayMessage::kAdvert:
        return RelayAdvert{message.advert().revision(), message.advert().digest()};
    case wire::RelayMessage::kFetch:
        return RelayFetch{message.fetch().after()};
    case wire::RelayMessage::kSnapshotPart:
        return readPart(message.snapshot_part());
    case wire::RelayMessage::BODY_NOT_SET:
        break;
    }
    return Core::failure(Core::ErrorCode::InvalidArgument, "empty relay message");
}

} // namespace Chervilpin::Configuration
