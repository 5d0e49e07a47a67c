#pragma once

#include <Core/Milliseconds.h>

#include <cstddef>

namespace Chervilpin::Failover {

/// Whether a safety rule is in force. Only tests switch one off, to show what it prevents.
enum class Guard {
    On,
    Off,
};

/// The time limits of detection.
struct DetectionPolicy
{
    Core::Duration pingInterval{100};           ///< Between two pings of one database.
    Core::Duration newConnectionPingAfter{200}; ///< Silence after which a new connection is tried.
    Core::Duration newConnectionPingTimeout{150}; ///< How long the new connection gets to answer.
    Core::Duration silenceThreshold{400};         ///< Silence that makes a database unreachable.
    Core::Duration refusedSilenceThreshold{
        150};                                 ///< Silence after which a refused connect is proof.
    Core::Duration slowLatencyThreshold{200}; ///< Answers slower than this mark it slow.
    std::int64_t silenceLatencyFactor = 4;    ///< The threshold is at least this many latencies.
    Core::Duration maximumSilenceThreshold{1500}; ///< Bound of the threshold for slow databases.
    Guard countLateAnswers = Guard::On;           ///< Late answers count as life too.
    Guard requireNewConnectionPing = Guard::On;   ///< Silence counts only with a new connection's.
};

/// The time limits of one promotion.
struct PromotionPolicy
{
    Core::Duration retryInterval{150};        ///< Between two sends of one unanswered request.
    Core::Duration preferredDatabaseWait{60}; ///< A fenced majority waits this long for the others.
    Core::Duration fenceTimeout{2000};  ///< Without a majority by then, the attempt is given up.
    Core::Duration promoteTimeout{500}; ///< Without the chosen one's answer, a new term is needed.
    Core::Duration followRetryInterval{500};
    Guard requireFencedMajority = Guard::On; ///< A majority is fenced before one is chosen.
    Guard chooseHighestMark = Guard::On;     ///< The highest held mark is chosen.
    Guard oneChoicePerTerm = Guard::On;      ///< A term never promotes a second database.
};

/// The time limits of a group's failover as a whole.
struct FailoverPolicy
{
    DetectionPolicy detection;
    PromotionPolicy promotion;
    std::size_t reservationCount = 3;              ///< Terms reserved ahead for a group.
    std::size_t maximumPeersQueried = 3;           ///< Peers that confirm a suspicion.
    Core::Duration peerQueryInterval{150};         ///< Between two questions to the peers.
    Core::Duration refusedUnconfirmedTimeout{300}; ///< A refusing primary is replaced after this.
    Core::Duration silentUnconfirmedTimeout{1200}; ///< A silent one is, when no peer answers.
    Core::Duration rankDelay{200};               ///< Between the starts of two reservation holders.
    Core::Duration takeoverDelay{700};           ///< A raised term without primary is abandoned.
    Core::Duration initialPlatformBackoff{200};  ///< First backoff of platform calls; doubles.
    Core::Duration maximumPlatformBackoff{5000}; ///< Bound of that backoff.
    Core::Duration platformTimeout{3000};        ///< A call without reply is given up.
    Core::Duration refreshInterval{30000};       ///< Between two reads of an unchanged term object.
    std::size_t announceFanOut = 32;      ///< Peers reported of a promotion by its coordinator.
    std::size_t relayFanOut = 3;          ///< Peers reported by each node that hears it first.
    Guard reserveInAdvance = Guard::On;   ///< A term is reserved before it is needed.
    Guard confirmWithPeers = Guard::On;   ///< Peers are asked before a promotion.
    Guard detectOwnIsolation = Guard::On; ///< A node without a majority does nothing.
};

} // namespace Chervilpin::Failover
