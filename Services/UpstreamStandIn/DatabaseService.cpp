#include "DatabaseService.h"

#include "StreamReactor.h"
#include "WireForm.h"

#include <Core/SteadyClock.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <string>

namespace Chervilpin::UpstreamStandIn {

namespace {

/// A pull over a cut line gets no answer; its call is let go of after this.
constexpr std::chrono::milliseconds cutPullLimit{2000};

std::string metadataOf(const grpc::CallbackServerContext &context)
{
    std::string text;
    for (const auto &[key, value] : context.client_metadata()) {
        text.append(key.data(), key.size()).append(": ");
        text.append(value.data(), value.size()).append("\n");
    }
    return text;
}

} // namespace

Core::ErrorOr<std::unique_ptr<grpc::Server>> DatabaseService::listen()
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(database_.options().listenAddress, grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    builder.SetMaxReceiveMessageSize(-1);
    builder.SetMaxSendMessageSize(-1);
    // Without this a second process could share the port instead of failing.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    auto server = builder.BuildAndStart();
    if (!server)
        return Core::failure(Core::ErrorCode::Unavailable,
                             "can't listen on " + database_.options().listenAddress);
    return server;
}

grpc::ServerBidiReactor<Wire::ToDatabase, Wire::FromDatabase> *
DatabaseService::Connect(grpc::CallbackServerContext *context)
{
    return new StreamReactor(database_, metadataOf(*context));
}

grpc::ServerUnaryReactor *DatabaseService::Pull(grpc::CallbackServerContext *context,
                                                const Wire::ReplicationPull *request,
                                                Wire::ReplicationBatch *response)
{
    auto *reactor = context->DefaultReactor();
    boost::asio::post(database_.context(), [this, reactor, request, response] {
        if (database_.faults().isRefusing(Core::SteadyClock::now()))
            return reactor->Finish({grpc::StatusCode::UNAVAILABLE, "refused"});
        const auto pull = fromWire(*request);
        if (database_.isPeerCut(pull.replica)) {
            auto timer =
                std::make_shared<boost::asio::steady_timer>(database_.context(), cutPullLimit);
            return timer->async_wait([timer, reactor](auto) {
                reactor->Finish({grpc::StatusCode::UNAVAILABLE, "cut"});
            });
        }
        toWire(database_.state().serve(pull), *response);
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

} // namespace Chervilpin::UpstreamStandIn
