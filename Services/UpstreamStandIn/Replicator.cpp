#include "Replicator.h"

#include "WireForm.h"

#include <Core/SteadyClock.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace Chervilpin::UpstreamStandIn {

namespace {

constexpr std::chrono::milliseconds pullTimeout{1000};
constexpr int reconnectMilliseconds = 100;
/// A batch of this many entries is likely not the last one.
constexpr std::size_t longBatch = 1000;

std::shared_ptr<grpc::Channel> channelTo(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(-1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMilliseconds);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectMilliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectMilliseconds);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

Replicator::Replicator(Database &database, std::uint64_t seed)
    : database_(database)
    , random_(seed)
    , timer_(database.context())
{
    for (const auto &[name, peer] : database.options().peers)
        (void)stubFor(peer.address);
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
    if (call_)
        return;
    keepConnected();
    timer_.expires_after(std::chrono::milliseconds(pauseMilliseconds()));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            pull();
    });
}

Replicator::Stub &Replicator::stubFor(const std::string &address)
{
    auto &peer = peers_[address];
    if (!peer.stub) {
        peer.channel = channelTo(address);
        peer.stub = ::chervilpin::upstream::Database::NewStub(peer.channel);
    }
    return *peer.stub;
}

void Replicator::keepConnected()
{
    for (const auto &[address, peer] : peers_)
        (void)peer.channel->GetState(true);
}

void Replicator::restart()
{
    // The former primary may be cut off, and its answer would be waited for in vain.
    if (const auto call = std::exchange(call_, nullptr))
        call->context.TryCancel();
    schedule();
}

void Replicator::pull()
{
    const auto next = database_.state().nextPull();
    const auto address = database_.state().primaryAddress();
    if (!next || address.empty() || database_.isPeerCut(database_.state().status().primary))
        return schedule();
    auto call = std::make_shared<Call>();
    call_ = call;
    toWire(*next, call->request);
    call->context.set_deadline(std::chrono::system_clock::now() + pullTimeout);
    stubFor(address).async()->Pull(&call->context, &call->request, &call->response,
                                   [this, call](const grpc::Status &status) {
                                       boost::asio::post(database_.context(), [this, call, status] {
                                           if (call != call_)
                                               return;
                                           call_.reset();
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
