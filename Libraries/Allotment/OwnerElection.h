#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Core/Milliseconds.h>
#include <Platform/Messages.h>

#include <optional>
#include <string>

namespace Chervilpin::Allotment {

/// Whether this node may try to become the owner.
enum class Candidacy {
    None,
    Standby, ///< Steps in a little later than the first.
    First,
};

/// Decides over one share's claim, which is the platform's object `allotment/<shard>/<index>`.
///
/// An owner's right lasts for the lease, counted from before it sent the write that renewed it. A
/// challenger writes only after it has watched one version of the claim for longer than that, with
/// a margin for drifting clocks. So two nodes never both hold the right, and no clocks are
/// compared.
class OwnerElection
{
public:
    OwnerElection(const Options &options, ShareId share, HolderName self);

    void setCandidacy(Candidacy candidacy, Core::Instant now);

    /// True while this node may grant. Ends by itself with the lease.
    [[nodiscard]] bool isOwner(Core::Instant now) const;
    /// The epoch of the own claim; only meaningful for the owner.
    [[nodiscard]] Epoch epoch() const { return own_.epoch; }
    /// Whether the own claim was the first ever.
    [[nodiscard]] bool isFirstOwner() const { return isFirstOwner_; }
    /// The owner according to the claim last seen; empty if unknown or given back.
    [[nodiscard]] Core::NodeName knownOwner() const;

    /// Gives the share back; the right ends now, and the next call tells the platform.
    void release(Core::Instant now);
    /// True when there is nothing left to tell the platform.
    [[nodiscard]] bool isReleased() const;

    /// The call due now, if any. At most one is under way.
    [[nodiscard]] std::optional<Platform::CallBody> tick(Core::Instant now);
    /// The reply to the call under way.
    void reply(const Platform::ReplyBody &body, Core::Instant now);

private:
    enum class Underway {
        Nothing,
        Get,
        Put,
    };

    void observe(const Platform::Object &object, Core::Instant now);
    void observeMissing();
    void won(Platform::Version version, Core::Instant now);
    [[nodiscard]] bool mayClaim(Core::Instant now) const;
    Platform::CallBody put(const Claim &claim, Core::Instant now);
    Platform::CallBody get(Core::Instant now);
    std::optional<Platform::CallBody> claimOrPoll(Core::Instant now);
    [[nodiscard]] Core::Duration pollInterval() const;
    [[nodiscard]] Core::Duration lease() const;

    Options options_;
    ShareId share_;
    HolderName self_;
    std::string key_;
    Candidacy candidacy_ = Candidacy::None;

    bool isObserved_ = false;
    Platform::Version version_ = 0;
    Core::Instant versionSince_; ///< When this version was first seen.
    std::optional<Claim> observed_;

    Claim own_;
    bool isOwning_ = false;
    bool isFirstOwner_ = false;
    bool wantsRelease_ = false;
    Core::Instant leaseFrom_;

    Underway underway_ = Underway::Nothing;
    Core::Instant sentAt_;
    Core::Instant nextCallAt_;
    Claim written_; ///< The claim of the last Put.
    bool wroteFirst_ = false;
    Core::Instant writtenAt_;
    std::uint64_t serial_ = 0;
};

} // namespace Chervilpin::Allotment
