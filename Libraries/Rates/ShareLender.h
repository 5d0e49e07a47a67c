#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Rates/Messages.h>
#include <Rates/OwnerTable.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Chervilpin::Rates {

/// Lends fractions of one team's rate to share holders, on behalf of the team's owner.
///
/// What is lent counts as used until the holder reports that it gave it up, or its lease has
/// expired. So all leases and ownShare() together never exceed the team's limits, whatever messages
/// are lost and however the proxies are partitioned.
class ShareLender
{
public:
    using LossTimes = std::map<Core::DataCentreName, Core::Instant>;

    /// For a new owner: its predecessor may have lent shares until \a now. Holders in the data
    /// centres that were lost at the given times may hold a share, and cannot be queried.
    ShareLender(LossTimes lostDataCentres, Core::Instant now);

    void setHolders(std::span<const Member>);
    /// Handles a report of a holder in this data centre and returns its new lease.
    [[nodiscard]] ShareLease lend(const ShareReport &, const Core::DataCentreName &,
                                  Core::Instant now);

    /// The fraction of the team's limits that is not lent and that the owner may use itself.
    [[nodiscard]] double ownShare(Core::Instant now) const;
    /// The holders that have not reported to this owner, as long as they may hold a share of its
    /// predecessor.
    [[nodiscard]] std::vector<Member> unheardHolders(Core::Instant now) const;
    /// The holders whose shares are to be lowered. They report rarely while they are idle.
    [[nodiscard]] std::vector<Member> holdersToLower(Core::Instant now) const;

private:
    struct Loan
    {
        Core::DataCentreName dataCentre;
        Core::Incarnation incarnation = 0;
        std::uint64_t reportId = 0;
        double share = 0; ///< The largest share that the holder may be using.
        double demandPerSecond = 0;
        Core::Instant until;
    };

    [[nodiscard]] double lentShare(const Core::NodeName &except, Core::Instant now) const;
    /// The largest share that holders which have not reported may hold.
    [[nodiscard]] double unheardShare(Core::Instant now) const;
    /// The demand of one data centre, or of all.
    [[nodiscard]] double demandOf(std::optional<Core::DataCentreName>, Core::Instant now) const;
    [[nodiscard]] double desiredShare(const Core::NodeName &, const Loan &,
                                      Core::Instant now) const;

    LossTimes lostDataCentres_;
    Core::Instant since_;
    std::map<Core::NodeName, Member> holders_;
    std::map<Core::NodeName, Loan> loans_; ///< Of all that ever reported.
};

} // namespace Chervilpin::Rates
