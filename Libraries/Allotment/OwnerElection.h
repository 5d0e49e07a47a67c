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

/// Whether this node may claim the share.
enum class Candidacy {
    None,
    Standby, ///< Claims the share somewhat later than the first candidate.
    First,
};

/// A message, addressed to a node.
struct AddressedMessage
{
    Core::NodeName to;
    Message message;
};

struct ElectionActions
{
    std::optional<Platform::CallBody> call; ///< At most one call is pending at a time.
    std::vector<AddressedMessage> messages;
};

/// Elects the owner of one share by a claim: the platform's object `allotment/<shard>/<index>`.
///
/// The claim names the owner and its witnesses. The owner's lease is valid for
/// Options::unwitnessedLease after its last write of the claim, and while a witness supports it, up
/// to Options::witnessedLease after that write; so ownership survives an outage of the platform. A
/// challenger writes by a conditional update, and only after it has known the same version of the
/// claim for longer than the unwitnessed lease and each witness has testified that its support has
/// expired and will not be given again; or, if a witness is unreachable too, after the witnessed
/// lease. Owners measure from before they send a request, witnesses from when they answer and
/// challengers from when they learn of a version, each on its own clock with a margin for drift. So
/// two nodes never own a share at the same time, and clocks of different nodes are never compared.
class OwnerElection
{
public:
    OwnerElection(const Options &options, ShareId share, HolderId self);

    void setCandidacy(Candidacy candidacy, Core::Instant now);
    /// Sets the nodes that can be chosen as witnesses, in order of preference. This node itself is
    /// skipped.
    void setWitnessCandidates(std::vector<Core::NodeName> candidates);

    /// Returns whether this node may grant now. Ownership expires without a call, and is not
    /// regained within the same epoch.
    [[nodiscard]] bool isOwner(Core::Instant now) const;
    /// The epoch of this node's claim; only meaningful while it is the owner.
    [[nodiscard]] Epoch epoch() const { return ownClaim_.epoch; }
    /// Returns whether this node's claim was the first one ever written for the share.
    [[nodiscard]] bool isFirstOwner() const { return isFirstOwner_; }
    /// Returns the owner named by the last observed claim; empty if unknown or released.
    [[nodiscard]] Core::NodeName knownOwner() const;

    /// Releases the share. Ownership ends now; the next call tells the platform.
    void release(Core::Instant now);
    /// Returns whether this node has no claim that the platform must still be told of.
    [[nodiscard]] bool isReleased() const;

    /// Returns the call and the messages that are due now.
    [[nodiscard]] ElectionActions tick(Core::Instant now);
    /// Handles the reply to the pending call.
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

    /// A write that may still take effect, until the platform's version has advanced beyond the
    /// expected one.
    struct UncertainWrite
    {
        Platform::Version expected = 0;
        std::vector<Core::NodeName> witnesses;
    };

    struct WitnessState
    {
        Core::Instant supportedUntil;
        Core::Instant silentSince; ///< When the first request without an answer was sent.
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
    Core::Instant versionSince_; ///< When this version was first observed.
    std::optional<Claim> observedClaim_;
    /// Witnesses that have testified for the observed version.
    std::set<Core::NodeName> clearWitnesses_;
    Core::Instant nextTestimonyAt_;

    Claim ownClaim_;
    bool isOwning_ = false;
    bool isFirstOwner_ = false;
    bool wantsRelease_ = false;
    Core::Instant leaseStart_; ///< When the last successful write was sent.
    std::map<Core::NodeName, WitnessState> witnessStates_;
    std::vector<UncertainWrite> uncertainWrites_;
    std::uint64_t supportRound_ = 0;
    Core::Instant supportAskedAt_;
    std::uint32_t writesWithoutSupport_ = 0;

    PendingCall pendingCall_ = PendingCall::Nothing;
    Core::Instant callSentAt_;
    Core::Instant nextCallAt_;
    std::uint32_t failures_ = 0; ///< Consecutive calls without a usable reply.
    Claim lastWrittenClaim_;     ///< The claim in the last Put.
    bool wroteFirstClaim_ = false;
    Core::Instant lastWriteSentAt_;
    std::uint64_t serial_ = 0;
};

} // namespace Chervilpin::Allotment
