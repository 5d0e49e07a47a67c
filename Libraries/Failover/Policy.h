#pragma once

#include <Core/Milliseconds.h>

#include <cstddef>

namespace Chervilpin::Failover {

/// Whether a safety rule is enforced. Only tests disable one, to show the failure it prevents.
enum class Guard {
    On,
    Off,
};

/// Parameters of failure detection.
struct DetectionPolicy
{
    Core::Duration pingInterval{100};           ///< Between two pings of one database.
    Core::Duration newConnectionPingAfter{200}; ///< Silence after which a new connection is pinged.
    Core::Duration newConnectionPingTimeout{150}; ///< Time for an answer on the new connection.
    Core::Duration silenceThreshold{400};        ///< Silence after which a database is unreachable.
    Core::Duration refusedSilenceThreshold{150}; ///< The same once a connect was refused.
    Core::Duration slowLatencyThreshold{200};    ///< Latency above which a database is slow.
    std::int64_t silenceLatencyFactor = 4;       ///< Minimum threshold as a multiple of latency.
    Core::Duration maximumSilenceThreshold{1500}; ///< Upper bound for slow databases.
    Guard countLateAnswers = Guard::On;           ///< Late answers count as liveness.
    Guard requireNewConnectionPing = Guard::On;   ///< A new connection must be silent too.
};

/// Parameters of one promotion.
struct PromotionPolicy
{
    Core::Duration retryInterval{150};        ///< Between two sends of an unanswered request.
    Core::Duration preferredDatabaseWait{60}; ///< Wait for the preferred database's fence.
    Core::Duration fenceTimeout{2000};        ///< Without a fenced majority, the attempt fails.
    Core::Duration promoteTimeout{500};       ///< Without an answer, a new term is needed.
    Core::Duration followRetryInterval{500};
    Guard requireFencedMajority = Guard::On; ///< A majority must be fenced before the choice.
    Guard chooseHighestMark = Guard::On;     ///< The database with the highest log mark is chosen.
    Guard oneChoicePerTerm = Guard::On;      ///< A term promotes at most one database.
};

/// Parameters of a group's failover as a whole.
struct FailoverPolicy
{
    DetectionPolicy detection;
    PromotionPolicy promotion;
    std::size_t reservationCount = 3;              ///< Reserved terms, and watchers, per group.
    std::size_t maximumPeersQueried = 3;           ///< Peers asked to confirm a suspicion.
    Core::Duration peerQueryInterval{150};         ///< Between two queries to the peers.
    Core::Duration refusedUnconfirmedTimeout{300}; ///< Refusing primary, no peer answers.
    Core::Duration silentUnconfirmedTimeout{1200}; ///< Silent primary, no peer answers.
    Core::Duration rankDelay{200};                 ///< Promotion delay per rank of the holder.
    Core::Duration takeoverDelay{700};             ///< Time without primary before a takeover.
    Core::Duration initialPlatformBackoff{200};    ///< First backoff of platform calls; doubles.
    Core::Duration maximumPlatformBackoff{5000};   ///< Upper bound of that backoff.
    Core::Duration platformTimeout{3000};          ///< A call without a reply has failed.
    Core::Duration refreshInterval{30000}; ///< Between two reads of an unchanged term object.
    std::size_t announceFanOut = 32;       ///< Peers notified by the coordinator.
    std::size_t relayFanOut = 3;           ///< Peers notified by each node that learns of it.
    Guard reserveInAdvance = Guard::On;    ///< Terms are reserved before they are needed.
    Guard confirmWithPeers = Guard::On;    ///< Peers are queried before a promotion.
    Guard detectOwnIsolation = Guard::On;  ///< A possibly isolated node starts no promotion.
};

} // namespace Chervilpin::Failover
