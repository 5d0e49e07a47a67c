#pragma once

#include "Database.h"

#include <Core/Random.h>

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>
#include <upstream.grpc.pb.h>

namespace Chervilpin::UpstreamStandIn {

/// Pulls the primary's log again and again, as often as the lag says.
class Replicator
{
public:
    Replicator(Database &, std::uint64_t seed);

    /// Starts over with the pause before the next pull.
    void schedule();
    /// Gives up a pull that waits for an answer, and pulls anew after the pause.
    void restart();

private:
    struct Call
    {
        grpc::ClientContext context;
        ::chervilpin::upstream::ReplicationPull request;
        ::chervilpin::upstream::ReplicationBatch response;
    };
    using Stub = ::chervilpin::upstream::Database::Stub;
    struct Peer
    {
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<Stub> stub;
    };

    [[nodiscard]] std::int64_t pauseMilliseconds();
    void pull();
    void receive(const ::chervilpin::upstream::ReplicationBatch &);
    [[nodiscard]] Stub &stubFor(const std::string &address);
    void keepConnected();

    Database &database_;
    Core::Random random_;
    boost::asio::steady_timer timer_;
    /// Kept to all peers, so that following another one costs no connection.
    std::map<std::string, Peer> peers_;
    std::shared_ptr<Call> call_; ///< Waits for its answer, if any.
};

} // namespace Chervilpin::UpstreamStandIn
