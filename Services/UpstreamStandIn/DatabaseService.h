#pragma once

#include "Database.h"

#include <memory>

#include <grpcpp/grpcpp.h>
#include <upstream.grpc.pb.h>

namespace Chervilpin::UpstreamStandIn {

/// The gRPC service of Libraries/Wire/upstream.proto.
class DatabaseService : public ::chervilpin::upstream::Database::CallbackService
{
public:
    explicit DatabaseService(Database &database)
        : database_(database)
    { }

    /// Fails with Unavailable if the address can't be listened on.
    [[nodiscard]] Core::ErrorOr<std::unique_ptr<grpc::Server>> listen();

    grpc::ServerBidiReactor<::chervilpin::upstream::ToDatabase,
                            ::chervilpin::upstream::FromDatabase> *
    Connect(grpc::CallbackServerContext *) override;

    grpc::ServerUnaryReactor *Pull(grpc::CallbackServerContext *,
                                   const ::chervilpin::upstream::ReplicationPull *,
                                   ::chervilpin::upstream::ReplicationBatch *) override;

private:
    Database &database_;
};

} // namespace Chervilpin::UpstreamStandIn
