#include <Services/Proxy/PeerTransport.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <map>
#include <peer.grpc.pb.h>

namespace Chervilpin::Proxy {

namespace wire = chervilpin::peer;

namespace {
/// A message that isn't taken by then is of no use any more; every sender repeats what matters.
constexpr std::chrono::milliseconds sendTimeout{2000};

class Counters
{
public:
    void countSent(std::size_t bytes)
    {
        ++messagesSent_;
        bytesSent_ += bytes;
    }
    void countReceived(std::size_t bytes)
    {
        ++messagesReceived_;
        bytesReceived_ += bytes;
    }
    [[nodiscard]] PeerTransport::Traffic traffic() const
    {
        return {messagesSent_, bytesSent_, messagesReceived_, bytesReceived_};
    }

private:
    std::atomic<std::uint64_t> messagesSent_ = 0;
    std::atomic<std::uint64_t> bytesSent_ = 0;
    std::atomic<std::uint64_t> messagesReceived_ = 0;
    std::atomic<std::uint64_t> bytesReceived_ = 0;
};

class Service : public wire::Peer::CallbackService
{
public:
    Service(boost::asio::io_context &context, Counters &counters, PeerTransport::Received received)
        : context_(context)
        , counters_(counters)
        , received_(std::move(received))
    { }

    grpc::ServerUnaryReactor *Send(grpc::CallbackServerContext *context,
                                   const wire::Envelope *envelope, wire::Received *) override
    {
        counters_.countReceived(envelope->ByteSizeLong());
        Peer::Incoming message;
        message.from = Core::NodeName(envelope->from());
        message.incarnation = envelope->incarnation();
        message.kind = static_cast<Peer::MessageKind>(envelope->kind());
        message.payload = envelope->payload();
        boost::asio::post(context_, [this, message = std::move(message)] { received_(message); });
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    boost::asio::io_context &context_;
    Counters &counters_;
    PeerTransport::Received received_;
};

/// What one sent message needs until gRPC is done with it.
struct Sending
{
    grpc::ClientContext context;
    wire::Envelope envelope;
    wire::Received reply;
};

} // namespace

struct PeerTransport::State
{
    State(boost::asio::io_context &context, Core::NodeName self, Peer::Incarnation incarnation,
          Received received)
        : selfName(std::move(self))
        , selfIncarnation(incarnation)
        , service(context, counters, std::move(received))
    { }

    wire::Peer::Stub &stub(const std::string &address)
    {
        auto &entry = stubs[address];
        if (!entry)
            entry = wire::Peer::NewStub(
                grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
        return *entry;
    }

    Core::NodeName selfName;
    Peer::Incarnation selfIncarnation;
    Counters counters;
    Service service;
    std::unique_ptr<grpc::Server> server;
    std::map<std::string, std::unique_ptr<wire::Peer::Stub>> stubs;
};

Core::ErrorOr<std::unique_ptr<PeerTransport>>
PeerTransport::create(boost::asio::io_context &context, const std::string &listenAddress,
                      Core::NodeName self, Peer::Incarnation incarnation, Received received)
{
    auto state =
        std::make_unique<State>(context, std::move(self), incarnation, std::move(received));
    grpc::ServerBuilder builder;
    // Two processes on one address would each get part of the messages.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(listenAddress, grpc::InsecureServerCredentials());
    builder.RegisterService(&state->service);
    state->server = builder.BuildAndStart();
    if (!state->server)
        return Core::failure(Core::ErrorCode::Unavailable, "cannot listen on " + listenAddress);
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(state)));
}

PeerTransport::PeerTransport(std::unique_ptr<State> state)
    : state_(std::move(state))
{ }

PeerTransport::~PeerTransport()
{
    state_->server->Shutdown(std::chrono::system_clock::now());
}

void PeerTransport::send(const std::string &address, const Peer::Outgoing &message)
{
    auto sending = std::make_shared<Sending>();
    sending->envelope.set_from(state_->selfName.value());
    sending->envelope.set_incarnation(state_->selfIncarnation);
    sending->envelope.set_kind(static_cast<std::uint32_t>(message.kind));
    sending->envelope.set_payload(message.payload);
    sending->context.set_deadline(std::chrono::system_clock::now() + sendTimeout);
    state_->counters.countSent(sending->envelope.ByteSizeLong());
    auto *raw = sending.get();
    state_->stub(address).async()->Send(&raw->context, &raw->envelope, &raw->reply,
                                        [sending = std::move(sending)](const grpc::Status &) {});
}

PeerTransport::Traffic PeerTransport::traffic() const
{
    return state_->counters.traffic();
}

} // namespace Chervilpin::Proxy
