#pragma once

#include "Connection.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>
#include <upstream.grpc.pb.h>

namespace Chervilpin::UpstreamStandIn {

/// Carries frames between gRPC's threads and the connection on the io_context's thread.
///
/// It deletes itself, on the latter thread, once gRPC is done with it.
class StreamReactor : public grpc::ServerBidiReactor<Wire::ToDatabase, Wire::FromDatabase>,
                      public FrameSink
{
public:
    StreamReactor(Database &, std::string metadata);

    // From gRPC's threads.
    void OnReadDone(bool isOk) override;
    void OnWriteDone(bool isOk) override;
    void OnCancel() override;
    void OnDone() override;

    // From the io_context's thread.
    void send(Wire::FromDatabase) override;
    void finish(End) override;

private:
    void writeNext();

    boost::asio::io_context &context_;
    std::shared_ptr<Connection> connection_;
    Wire::ToDatabase incoming_;
    std::deque<Wire::FromDatabase> outgoing_;
    bool isWriting_ = false;
    bool isFinished_ = false;
};

} // namespace Chervilpin::UpstreamStandIn
