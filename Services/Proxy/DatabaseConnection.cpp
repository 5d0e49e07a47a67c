#include <Services/Proxy/DatabaseConnection.h>

#include <Wire/UpstreamCodec.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <deque>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <upstream.grpc.pb.h>

namespace Chervilpin::Proxy {

namespace wire = chervilpin::upstream;

namespace {

std::shared_ptr<grpc::Channel> createChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // Each database connection is a TCP connection of its own, so that one that went silent says
    // nothing of the others.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

class DatabaseConnection::Stream
    : public grpc::ClientBidiReactor<wire::ToDatabase, wire::FromDatabase>
{
public:
    Stream(boost::asio::io_context &context, const std::string &address, const Identity &identity,
           Events events)
        : asioContext_(context)
        , stub_(wire::Database::NewStub(createChannel(address)))
        , events_(std::make_shared<Events>(std::move(events)))
    {
        clientContext_.AddMetadata("data-centre", identity.dataCentre.value());
        wire::ToDatabase hello;
        hello.mutable_hello()->set_name(identity.node.value());
        hello.mutable_hello()->set_group(identity.group.value());
        hello.mutable_hello()->set_data_centre(identity.dataCentre.value());
        outgoing_.push_back(std::move(hello));
        stub_->async()->Connect(&clientContext_, this);
        // Writes come from outside gRPC's own callbacks; the hold keeps the call from finishing
        // between two of them.
        AddHold();
        StartWrite(&outgoing_.front());
        StartRead(&incoming_);
        StartCall();
    }

    void send(wire::ToDatabase message)
    {
        const std::lock_guard lock(mutex_);
        if (isFinished_)
            return;
        outgoing_.push_back(std::move(message));
        if (outgoing_.size() == 1)
            StartWrite(&outgoing_.front());
    }

    void close()
    {
        isClosed_ = true;
        clientContext_.TryCancel();
        releaseHold();
    }

    void OnWriteDone(bool isOk) override
    {
        const std::lock_guard lock(mutex_);
        if (!isOk) {
            isFinished_ = true;
            return;
        }
        outgoing_.pop_front();
        if (!outgoing_.empty() && !isFinished_)
            StartWrite(&outgoing_.front());
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            releaseHold();
            return;
        }
        if (incoming_.has_hello())
            reportOpened();
        else if (incoming_.has_answer())
            reportAnswer();
        StartRead(&incoming_);
    }

    void OnDone(const grpc::Status &status) override
    {
        const auto end = wasOpened_ ? ConnectionEnd::Broken : ConnectionEnd::Refused;
        boost::asio::post(asioContext_, [this, end, message = status.error_message()] {
            if (!isClosed_)
                events_->ended(end, message);
            isDone_ = true;
            deleteWhenUnused();
        });
    }

    /// Called by the owner when it lets go. Runs on the Asio context.
    void abandon()
    {
        if (!isClosed_)
            close();
        isAbandoned_ = true;
        deleteWhenUnused();
    }

private:
    ~Stream() override = default;

    void deleteWhenUnused()
    {
        if (isAbandoned_ && isDone_)
            delete this;
    }

    void releaseHold()
    {
        const std::lock_guard lock(mutex_);
        isFinished_ = true;
        if (isHoldReleased_)
            return;
        isHoldReleased_ = true;
        RemoveHold();
    }

    void reportOpened()
    {
        wasOpened_ = true;
        boost::asio::post(asioContext_, [this] {
            if (!isClosed_)
                events_->opened();
        });
    }

    void reportAnswer()
    {
        boost::asio::post(asioContext_,
                          [this, id = incoming_.answer().correlation_id(),
                           answer = Wire::decode(incoming_.answer())]() mutable {
                              if (!isClosed_)
                                  events_->answered(id, std::move(answer));
                          });
    }

    boost::asio::io_context &asioContext_;
    std::unique_ptr<wire::Database::Stub> stub_;
    grpc::ClientContext clientContext_;
    std::shared_ptr<Events> events_;

    // Used by gRPC's threads and the Asio context, under the mutex.
    std::mutex mutex_;
    std::deque<wire::ToDatabase> outgoing_;
    bool isFinished_ = false;
    bool isHoldReleased_ = false;

    // Used by gRPC's callbacks only, which don't overlap.
    wire::FromDatabase incoming_;
    std::atomic<bool> wasOpened_ = false;

    // Used on the Asio context only.
    bool isClosed_ = false;
    bool isAbandoned_ = false;
    bool isDone_ = false;
};

DatabaseConnection::DatabaseConnection(boost::asio::io_context &context, const std::string &address,
                                       const Identity &identity, Events events)
    : stream_(new Stream(context, address, identity, std::move(events)))
{ }

DatabaseConnection::~DatabaseConnection()
{
    stream_->abandon();
}

void DatabaseConnection::send(Upstream::CorrelationId id, const Upstream::RequestBody &body)
{
    wire::ToDatabase message;
    Wire::encode(id, body, *message.mutable_request());
    stream_->send(std::move(message));
}

void DatabaseConnection::close()
{
    stream_->close();
}

} // namespace Chervilpin::Proxy
