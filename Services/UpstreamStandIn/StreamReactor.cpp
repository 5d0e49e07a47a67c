#include "StreamReactor.h"

#include <array>
#include <boost/asio/post.hpp>
#include <utility>

namespace Chervilpin::UpstreamStandIn {

namespace {

grpc::Status statusOf(FrameSink::End end)
{
    switch (end) {
    case FrameSink::End::Normal:
        return grpc::Status::OK;
    case FrameSink::End::Refused:
        return {grpc::StatusCode::UNAVAILABLE, "refused"};
    case FrameSink::End::TooManyConnections:
        return {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many connections"};
    case FrameSink::End::WrongGroup:
        return {grpc::StatusCode::FAILED_PRECONDITION, "another group's database"};
    }
    return {grpc::StatusCode::INTERNAL, {}};
}

} // namespace

StreamReactor::StreamReactor(Database &database, std::string metadata)
    : context_(database.context())
    , connection_(std::make_shared<Connection>(database, *this))
{
    boost::asio::post(context_, [connection = connection_, metadata = std::move(metadata)] {
        connection->open(metadata);
    });
    StartRead(&incoming_);
}

void StreamReactor::OnReadDone(bool isOk)
{
    if (!isOk) {
        boost::asio::post(context_, [connection = connection_] { connection->close(); });
        return;
    }
    boost::asio::post(context_, [connection = connection_, frame = std::move(incoming_)] {
        connection->receive(frame);
    });
    incoming_.Clear();
    StartRead(&incoming_);
}

void StreamReactor::OnWriteDone(bool isOk)
{
    boost::asio::post(context_, [this, isOk] {
        isWriting_ = false;
        outgoing_.pop_front();
        if (isOk)
            writeNext();
    });
}

void StreamReactor::OnCancel()
{
    boost::asio::post(context_, [connection = connection_] { connection->close(); });
}

void StreamReactor::OnDone()
{
    boost::asio::post(context_, [this] {
        connection_->close();
        connection_->detach();
        delete this;
    });
}

void StreamReactor::send(Wire::FromDatabase frame)
{
    if (isFinished_)
        return;
    outgoing_.push_back(std::move(frame));
    writeNext();
}

void StreamReactor::writeNext()
{
    if (isWriting_ || isFinished_ || outgoing_.empty())
        return;
    isWriting_ = true;
    StartWrite(&outgoing_.front());
}

void StreamReactor::finish(End end)
{
    if (!std::exchange(isFinished_, true))
        Finish(statusOf(end));
}

} // namespace Chervilpin::UpstreamStandIn
