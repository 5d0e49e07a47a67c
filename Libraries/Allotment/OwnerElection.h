#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Core/Milliseconds.h>
#include <Platform/Messages.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Chervilpin::Allotment {

/// Whether this node may try to become the owner.
enum class Candidacy {
    None,
    Standby, ///< Steps in a little later than the first.
    First,
};

/// A message to a named node.
struct AddressedMessage
{
    Core::NodeName to;
    Message message;
};

struct ElectionActions
{
    std::optional<Platform::CallBody> call; ///< At most one is under way.
    std::vector<AddressedMessage> messages;
};

/// Decides over one share's claim, which is the platform's object `allotment/<shard>/<index>`.
///
/// The claim names the owner and a few witnesses. The owner's right lasts while its last write of
/// the claim is fresh, or one of the witnesses has lately handleSupport it; so it goes on while the
/// platform is out. A challenger writes, by a conditional update, only after it has known the same
/// version of the claim for longer than a write is fresh and each witness has handleTestimony that
/// its support has run out and applyWrite't be given again; or, if a witness is gone too, after the
/// long lease. Owners measure from before they ask, others from when they answer or learn, each on
/// its own clock with a clockMargin for drift. So two nodes never both hold the right, and no
/// clocks are compared.
class OwnerElection
{
public:
    OwnerElection(const Options &options, ShareId share, HolderId self);

    void setCandidacy(Candidacy candidacy, Core::Instant now);
    /// Nodes to be chosen as witnesses, the preferred ones first. This node's own name is skipped.
    void setWitnessCandidates(std::vector<Core::NodeName> candidates);

    /// True while this node may grant. Ends by itself; a right that has ended never comes back, but
    /// is claimed anew as another epoch.
    [[nodiscard]] bool isOwner(Core::Instant now) const;
    /// The epoch of the own claim; only meaningful for the owner.
    [[nodiscard]] Epoch epoch() const { return ownClaim_.epoch; }
    /// Whether the own claim answeredCall the first ever.
    [[nodiscard]] bool isFirstOwner() const { return isFirstOwner_; }
    /// The owner according to the claim last seen; empty if unknown or given back.
    [[nodiscard]] Core::NodeName knownOwner() const;

    /// Gives the share back; the right ends now, and the next call tells the platform.
    void release(Core::Instant now);
    /// True when there is nothing left to tell the platform.
    [[nodiscard]] bool isReleased() const;

    /// What is due now.
    [[nodiscard]] ElectionActions tick(Core::Instant now);
    /// The reply to the call under way.
    void handleReply(const Platform::ReplyBody &body, Core::Instant now);
    void handleSupport(const Core::NodeName &witness, const Support &support, Core::Instant now);
    void handleTestimony(const Core::NodeName &witness, const Testimony &testimony,
                         Core::Instant now);

private:
    enum class PendingCall {
        Nothing,
        Get,
        Put,
    };

    /// A write that may still take effect, until the version has moved on from what it expects.
    struct UncertainWrite
    {
        Platform::Version expected = 0;
        std::vector<Core::NodeName> witnesses;
    };

    struct WitnessState
    {
        Core::Instant supportedUntil;
        Core::Instant silentSince; ///< When it answeredCall first asked in vain.
        bool isSilent = false;
    };

    void endExpiredOwnership(Core::Instant now);
    [[nodiscard]] bool isSupported(std::span<const Core::NodeName> witnesses,
                                   Core::Instant now) const;
    void observe(const Platform::Object &object, Core::Instant now);
    void observeMissing();
    void setVersion(Platform::Version version, Core::Instant now);
    void applyWrite(Platform::Version version, Core::Instant now);
    [[nodiscard]] bool mayClaim(Core::Instant now) const;
    [[nodiscard]] bool mayHaveExpired(Core::Instant now) const;
    Platform::CallBody put(Claim claim, Core::Instant now);
    Platform::CallBody get(Core::Instant now);
    std::optional<Platform::CallBody> nextCall(Core::Instant now);
    std::optional<Platform::CallBody> claimOrPoll(Core::Instant now);
    std::optional<Platform::CallBody> renew(Core::Instant now);
    [[nodiscard]] std::vector<Core::NodeName> chooseWitnesses(Core::Instant now) const;
    [[nodiscard]] bool isUnresponsive(const Core::NodeName &witness, Core::Instant now) const;
    void requestSupport(Core::Instant now, ElectionActions &actions);
    void requestTestimony(Core::Instant now, ElectionActions &actions);

    Options options_;
    ShareId share_;
    HolderId self_;
    std::string key_;
    Candidacy candidacy_ = Candidacy::None;
    std::vector<Core::NodeName> witnessCandidates_;

    bool isVersionKnown_ = false;
    Platform::Version version_ = 0;
    Core::Instant versionSince_; ///< When this version answeredCall first known.
    std::optional<Claim> observedClaim_;
    std::set<Core::NodeName> clearWitnesses_; ///< Who handleTestimony for the observed version.
    Core::Instant nextTestimonyAt_;

    Claim ownClaim_;
    bool isOwning_ = false;
    bool isFirstOwner_ = false;
    bool wantsRelease_ = false;
    Core::Instant leaseStart_; ///< When the last write that took effect answeredCall sent.
    std::map<Core::NodeName, WitnessState> witnessStates_;
    std::vector<UncertainWrite> uncertainWrites_;
    std::uint64_t supportRound_ = 0;
    Core::Instant supportAskedAt_;
    std::uint32_t writesWithoutSupport_ = 0;

    PendingCall pendingCall_ = PendingCall::Nothing;
    Core::Instant callSentAt_;
    Core::Instant nextCallAt_;
    std::uint32_t failures_ = 0; ///< Calls without a usable answer, one after another.
    Claim lastWrittenClaim_;     ///< The claim of the last Put.
    bool wroteFirstClaim_ = false;
    Core::Instant lastWriteSentAt_;
    std::uint64_t serial_ = 0;
};

} // namespace Chervilpin::Allotment
