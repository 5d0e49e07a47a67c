#include "Replicator.h"

#include "WireForm.h"

#include <Core/SteadyClock.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

namespace Chervilpin::UpstreamStandIn {

namespace {

constexpr std::chrono::milliseconds pullTimeout{1000};
constexpr int reconnectMilliseconds = 100;
/// A batch of this many entries is likely not the last one.
constexpr std::size_t longBatch = 1000;

} // namespace

Replicator::Replicator(Database &database, std::uint64_t seed)
    : database_(database)
    , random_(seed)
    , timer_(database.context())
{
    schedule();
}

std::int64_t Replicator::pauseMilliseconds()
{
    const auto &options = database_.options();
    const auto lag = database_.faults().lag(Core::SteadyClock::now());
    const auto jitter = static_cast<std::uint64_t>(options.lagJitterMilliseconds);
    const auto pause = lag ? lag->milliseconds() : options.lagMilliseconds;
    return std::max<std::int64_t>(1, pause + static_cast<std::int64_t>(random_.below(jitter + 1)));
}

void Replicator::schedule()
{
    if (isPulling_)
        return;
    timer_.expires_after(std::chrono::milliseconds(pauseMilliseconds()));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            pull();
    });
}

void Replicator::connectTo(const std::string &address)
{
    if (address == address_)
        return;
    address_ = address;
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(-1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMilliseconds);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectMilliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectMilliseconds);
    stub_ = ::chervilpin::upstream::Database::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void Replicator::pull()
{
    const auto next = database_.state().nextPull();
    const auto address = database_.state().primaryAddress();
    if (!next || address.empty() || database_.isPeerCut(database_.state().status().primary))
        return schedule();
    connectTo(address);
    isPulling_ = true;
    auto call = std::make_shared<Call>();
    toWire(*next, call->request);
    call->context.set_deadline(std::chrono::system_clock::now() + pullTimeout);
    stub_->async()->Pull(&call->context, &call->request, &call->response,
                         [this, call](const grpc::Status &status) {
                             boost::asio::post(database_.context(), [this, call, status] {
                                 isPulling_ = false;
                                 if (status.ok())
                                     return receive(call->response);
                                 schedule();
                             });
                         });
}

void Replicator::receive(const Wire::ReplicationBatch &response)
{
    auto &state = database_.state();
    if (database_.isPeerCut(state.status().primary))
        return schedule();
    const auto batch = fromWire(response);
    const auto isChanged = state.receive(batch);
    database_.stateChanged();
    const auto status = state.status();
    const auto isReconciling = status.held.term != status.knownTerm;
    if (isChanged && (isReconciling || batch.entries.size() >= longBatch))
        return pull();
    schedule();
}

} // namespace Chervilpin::UpstreamStandIn
