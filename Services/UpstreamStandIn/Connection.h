#pragma once

#include "Database.h"

#include <Core/Name.h>
#include <StandIn/DatabaseSession.h>
#include <Upstream/Messages.h>

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <upstream.pb.h>

namespace Chervilpin::UpstreamStandIn {

namespace Wire = ::chervilpin::upstream;

/// Where a connection's frames go. The stream may be gone; then frames go nowhere.
class FrameSink
{
public:
    enum class End {
        Normal,
        Refused,            ///< UNAVAILABLE
        TooManyConnections, ///< RESOURCE_EXHAUSTED
        WrongGroup,         ///< FAILED_PRECONDITION
    };

    virtual ~FrameSink() = default;
    virtual void send(Wire::FromDatabase) = 0;
    virtual void finish(End) = 0;
};

/// One database connection: its statements run one at a time, its other requests at once.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Database &database, FrameSink &sink)
        : database_(database)
        , sink_(&sink)
        , connectTimer_(database.context())
    { }

    /// Takes a place among the database's connections, or ends the stream.
    void open(const std::string &metadata);
    void receive(const Wire::ToDatabase &);
    /// The stream has ended: rolls back and gives the place free.
    void close();
    /// The sink must not be used any more.
    void detach() { sink_ = nullptr; }

    void goSilent() { isSilent_ = true; }
    void refuse();
    void rollBackIfIdle();

private:
    struct WaitingStatement
    {
        std::uint64_t correlationId = 0;
        Upstream::Statement statement;
        bool isKeySeen = false;
        std::int64_t arrivedMicroseconds = 0;
        std::int64_t startedMicroseconds = 0;
    };

    /// Came before the greeting was answered.
    struct EarlyRequest
    {
        Wire::Request request;
        bool isKeySeen = false;
    };

    [[nodiscard]] bool isDeaf() const;
    void take(const Wire::ToDatabase &);
    void greet(const Wire::Hello &);
    void takeRequest(const Wire::Request &, bool isKeySeen);
    void handle(std::uint64_t correlationId, const Upstream::RequestBody &, bool isKeySeen);
    void answerStatus(std::uint64_t correlationId, const Upstream::StatusQuery &);
    void startNext();
    void awaitMark();
    void awaitSlot();
    void serve();
    void execute();
    void finishStatement(Upstream::Answer);
    void record(const WaitingStatement &, const std::string &openTransaction,
                const Upstream::Answer &);
    void answer(std::uint64_t correlationId, Upstream::Answer);
    void dispatch(const Wire::FromDatabase &, const StandIn::AnswerPlan &);
    void sendFrame(const Wire::FromDatabase &);
    void sendHeldBack();

    Database &database_;
    FrameSink *sink_;
    std::uint64_t number_ = 0;
    std::string proxy_;
    Core::DataCentreName dataCentre_;
    StandIn::DatabaseSession session_;
    std::deque<WaitingStatement> statements_; ///< The first one runs if isBusy_.
    std::vector<EarlyRequest> beforeOpen_;
    std::optional<Wire::FromDatabase> heldBack_;
    boost::asio::steady_timer connectTimer_;
    bool isOpen_ = false;
    bool isBusy_ = false;
    bool isSilent_ = false;
    bool isClosed_ = false;
    bool wasInTransaction_ = false;
};

} // namespace Chervilpin::UpstreamStandIn
