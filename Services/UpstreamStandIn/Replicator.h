#pragma once

#include "Database.h"

#include <Core/Random.h>

#include <boost/asio/steady_timer.hpp>
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

private:
    struct Call
    {
        grpc::ClientContext context;
        ::chervilpin::upstream::ReplicationPull request;
        ::chervilpin::upstream::ReplicationBatch response;
    };
    using Stub = ::chervilpin::upstream::Database::Stub;

    [[nodiscard]] std::int64_t pauseMilliseconds();
    void pull();
    void receive(const ::chervilpin::upstream::ReplicationBatch &);
    void connectTo(const std::string &address);

    Database &database_;
    Core::Random random_;
    boost::asio::steady_timer timer_;
    std::string address_;
    std::unique_ptr<Stub> stub_;
    bool isPulling_ = false;
};

} // namespace Chervilpin::UpstreamStandIn
