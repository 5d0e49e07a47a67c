#include <Authenticate/Keyring.h>

#include <algorithm>

namespace Chervilpin::Authenticate {

namespace {

constexpr std::string_view decoySalt = "00000000000000000000000000000000";

bool isSameValidKey(const KeyRecord &before, const KeyRecord &after)
{
    return after.state == KeyState::Valid && after.team == before.team && after.salt == before.salt
        && after.digest == before.digest;
}

} // namespace

Keyring::Keyring(KeyringOptions options)
    : options_(options)
{
    decoy_.salt = decoySalt;
    decoy_.state = KeyState::Withdrawn;
}

std::vector<KeyId> Keyring::replace(std::span<const KeyRecord> records)
{
    std::map<KeyId, KeyRecord> next;
    for (const KeyRecord &record : records)
        next.insert_or_assign(record.id, record);
    std::vector<KeyId> withdrawn;
    for (const auto &[id, before] : records_) {
        if (before.state != KeyState::Valid)
            continue;
        const auto after = next.find(id);
        if (after == next.end() || !isSameValidKey(before, after->second))
            withdrawn.push_back(id);
    }
    records_ = std::move(next);
    return withdrawn;
}

void Keyring::confirmContact(Core::Instant since)
{
    contactAt_ = std::max(contactAt_, since);
}

bool Keyring::isIsolated(Core::Instant now) const
{
    return options_.isIsolationBounded && now - contactAt_ > options_.isolationLimit;
}

Core::ErrorOr<AuthenticatedKey> Keyring::authenticate(std::string_view key, Core::Instant now) const
{
    if (isIsolated(now))
        return Core::failure(Core::ErrorCode::Unavailable,
                             "this proxy can't tell whether the key is still valid");
    const KeyText text = TRY(KeyText::parse(key));
    const auto found = records_.find(text.id);
    const KeyRecord &record = found == records_.end() ? decoy_ : found->second;
    const bool isRightSecret = isSameDigest(digestOf(record.salt, text.secret), record.digest);
    const bool isValid = record.state == KeyState::Valid;
    if (!isRightSecret || !isValid)
        return Core::failure(Core::ErrorCode::Unauthenticated, "unknown or withdrawn key");
    return AuthenticatedKey{record.team, record.id};
}

bool Keyring::isServed(const KeyId &id, Core::Instant now) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.state == KeyState::Valid && !isIsolated(now);
}

} // namespace Chervilpin::Authenticate
