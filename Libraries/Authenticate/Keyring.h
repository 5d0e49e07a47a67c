#pragma once

#include <Authenticate/KeyDigest.h>
#include <Authenticate/KeyText.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Authenticate {

enum class KeyState {
    Valid,
    Withdrawn, ///< Kept in the configuration so that nodes that lag can't revive it.
};

/// What the configuration holds of a key; the secret can't be had from it.
struct KeyRecord
{
    KeyId id;
    Core::TeamName team;
    std::string salt;
    Digest digest{};
    KeyState state = KeyState::Valid;
};

struct AuthenticatedKey
{
    Core::TeamName team;
    KeyId keyId;
};

struct KeyringOptions
{
    /// How long known keys are served after the last contact with the rest of the fleet.
    Core::Duration isolationLimit{60'000};
    /// Switched off only by tests, which show what the limit prevents.
    bool isIsolationBounded = true;
};

/// All keys of the fleet. Answers whose key a text is, and which keys stop with a new key set.
class Keyring
{
public:
    explicit Keyring(KeyringOptions options = {});

    /// Takes over a new set and returns the ids that were valid before and aren't any more (also
    /// those whose digest or team changed). The caller cuts their connections, queued statements
    /// and transactions. It proves nothing about isolation, since an old change may arrive late.
    std::vector<KeyId> replace(std::span<const KeyRecord> records);

    /// Notes that this node is in touch with the fleet: the platform answered, or a node of another
    /// data centre was heard. \a since is when the platform was asked (its answer can be no older),
    /// or when the message came in. Nodes of the own data centre don't count, because a whole data
    /// centre can be cut off.
    void confirmContact(Core::Instant since);

    /// True once there was no contact for longer than the isolation limit. Then all keys are
    /// refused as "not run", and what runs under any key is cut as if the key had been withdrawn.
    [[nodiscard]] bool isIsolated(Core::Instant now) const;

    /// Fails with Unauthenticated for anything but a valid key, and with Unavailable while
    /// isolated. Takes the same work for unknown ids and wrong secrets.
    [[nodiscard]] Core::ErrorOr<AuthenticatedKey> authenticate(std::string_view key,
                                                               Core::Instant now) const;

    /// Whether work that began under this key may go on.
    [[nodiscard]] bool isServed(const KeyId &id, Core::Instant now) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    KeyringOptions options_;
    std::map<KeyId, KeyRecord> records_;
    KeyRecord decoy_; ///< Compared against when the id is unknown.
    Core::Instant contactAt_;
};

} // namespace Chervilpin::Authenticate
