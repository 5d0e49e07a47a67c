#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Chervilpin::Borrow {

/// Names one connection for the life of the pool. Never used twice, so that a late event of a
/// connection that is gone can't be taken for one of its successor.
using Generation = std::uint64_t;

enum class ConnectionState {
    Opening,
    Idle,
    Busy,     ///< A statement is unanswered.
    Pinned,   ///< Held by a transaction, between its statements.
    Suspect,  ///< Idle and probed; lent again only once it has answered.
    Draining, ///< Close was asked for; it counts until the shell says that it is closed.
};

struct Open
{
    Generation generation = 0;
};

struct Close
{
    Generation generation = 0;
};

/// Sends a heartbeat (a status query, which takes no slot).
struct Ping
{
    Generation generation = 0;
};

using Action = std::variant<Open, Close, Ping>;

struct ConnectionPoolOptions
{
    std::uint32_t leastSpares = 1; ///< Idle connections kept ready beyond the busy.
    Core::Duration openTimeout{1000};
    Core::Duration heartbeatInterval{2000}; ///< An idle connection is probed this often.
    Core::Duration heartbeatTimeout{500};
    Core::Duration siblingAge{1000}; ///< Opened within this span: same fate assumed.
    Core::Duration spareHold{5000};  ///< How long a peak is remembered for spares.
    Core::Duration reopenDelay{200}; ///< Pause after a failed opening.
    /// Switched off only by tests.
    bool staysWithinShare = true;
};

/// Decides over the connections to one database: which to lend, open, probe and close.
///
/// It never has more connections than its share, where a connection counts from Open until the
/// shell reports closed(). A connection with an unanswered statement is never lent: it goes back
/// by answered(), or is closed.
class ConnectionPool
{
public:
    explicit ConnectionPool(ConnectionPoolOptions options = {});

    /// Sets how many connections this node may have now. Falling shares close idle connections at
    /// once, busy ones when their statement is answered, pinned ones last (see overdue()).
    void setShare(std::uint32_t share);

    /// Lends an idle connection; the one most recently used, so that spares age out.
    [[nodiscard]] std::optional<Generation> lend(Core::Instant now);

    /// The statement on a lent connection was answered. With a transaction open it stays pinned.
    void answered(Generation generation, bool isInTransaction, Core::Instant now);
    /// A statement was sent on a pinned connection. False if the connection is gone.
    [[nodiscard]] bool resume(Generation generation, Core::Instant now);
    /// The borrower gave up with the statement unanswered: the connection is closed, never reused,
    /// and connections opened at about the same time are probed before they are lent again.
    void abandoned(Generation generation, Core::Instant now);

    void opened(Generation generation, Core::Instant now);
    void closed(Generation generation, Core::Instant now);
    void pingAnswered(Generation generation, Core::Instant now);

    /// Closes what is idle and lends no more; what is busy closes when it is answered.
    void leave();

    /// Connections beyond the share that are busy or pinned; the engine ends their transactions.
    [[nodiscard]] std::vector<Generation> overdue() const;

    /// How many connections this node could use now, as the demand reported to the allotment.
    [[nodiscard]] std::uint32_t wanted() const;

    /// The number of statements waiting for a connection, as the engine sees it.
    void setWaiting(std::uint32_t waiting);

    /// Actions due at this time. To be called after any of the functions above, and periodically.
    [[nodiscard]] std::vector<Action> tick(Core::Instant now);

    /// Everything that counts against the share.
    [[nodiscard]] std::uint32_t size() const;
    [[nodiscard]] std::uint32_t count(ConnectionState state) const;
    [[nodiscard]] std::optional<ConnectionState> stateOf(Generation generation) const;

private:
    struct Connection
    {
        ConnectionState state = ConnectionState::Opening;
        Core::Instant stateSince;
        Core::Instant openedAt;
        Core::Instant heardAt;
        bool isProbed = false; ///< A ping is unanswered.
        bool isCloseSent = false;
        Core::Instant probedAt;
    };

    void enter(Connection &connection, ConnectionState state, Core::Instant now);
    void suspectSiblings(const Connection &silent, Core::Instant now);
    void closeBeyondShare(Core::Instant now);
    void probe(Core::Instant now, std::vector<Action> &actions);
    void openSpares(Core::Instant now, std::vector<Action> &actions);
    void emitCloses(std::vector<Action> &actions);
    void checkTimeouts(Core::Instant now);
    void trackPeak(Core::Instant now);
    std::uint32_t used() const;
    std::uint32_t living() const;

    ConnectionPoolOptions options_;
    std::map<Generation, Connection> connections_;
    Generation nextGeneration_ = 1;
    std::uint32_t share_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t peak_ = 0;
    Core::Instant peakAt_;
    Core::Instant mayOpenAt_;
    bool isLeaving_ = false;
};

} // namespace Chervilpin::Borrow
