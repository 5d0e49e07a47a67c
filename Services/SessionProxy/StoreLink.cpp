#include <Services/SessionProxy/StoreLink.h>

#include <Core/SteadyClock.h>
#include <Fleet/RelayTiming.h>
#include <FleetWire/RelayCodec.h>
#include <Observe/Log.h>
#include <Services/SessionProxy/RelayServer.h>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace Chervilpin::SessionProxy {

using Fleet::ObjectKind;
using Fleet::SourceFailure;
using Fleet::StoreWatcher;

namespace {

/// A list can be long, so its timeout is no shorter than that of a records watch.
Core::Duration feedTimeout(const Fleet::RelayQuestion &question)
{
    return std::max(question.wait, Fleet::recordsRelayHoldTimeout) + Fleet::relayAnswerTimeout;
}

} // namespace

StoreLink::StoreLink(boost::asio::io_context &context, StoreSources &sources,
                     Observe::Metrics &metrics, ObjectKind kind, Handlers handlers)
    : sources_(sources)
    , metrics_(metrics)
    , kind_(kind)
    , watcher_(Fleet::watchTimeout(kind))
    , handlers_(std::move(handlers))
    , timer_(context)
{ }

void StoreLink::start()
{
    sendRequest();
}

void StoreLink::refresh()
{
    watcher_.restart();
    sendRequest();
}

void StoreLink::refreshFromStore()
{
    watcher_.restart();
    sendRequestTo(Fleet::Source());
}

void StoreLink::eraBegan(Fleet::Era era)
{
    if (watcher_.isBefore(era))
        refresh();
}

void StoreLink::sourceChanged()
{
    if (pendingSource_ && !pendingSource_->isStore() && *pendingSource_ != sources_.current())
        sendRequest();
}

void StoreLink::sendRequest()
{
    sendRequestTo(sources_.current());
}

void StoreLink::sendRequestTo(const Fleet::Source &source)
{
    ++generation_;
    pendingSource_ = source;
    if (source.isStore())
        requestFromStore();
    else
        requestFromFeed(source);
}

void StoreLink::countRequest(std::string_view target, std::string_view form)
{
    metrics_.add("chervilpin_follow_calls_total",
                 "target=\"" + std::string(target) + "\",objects=\""
                     + std::string(Fleet::toString(kind_)) + "\",form=\"" + std::string(form)
                     + "\"");
}

void StoreLink::requestFromStore()
{
    const bool isFeedWatchingRecords = kind_ == ObjectKind::Records && sources_.isFeed();
    watcher_.setWait(isFeedWatchingRecords ? Fleet::feedRecordsWatchTimeout
                                           : Fleet::watchTimeout(kind_));
    const StoreWatcher::Call next = watcher_.next();
    const auto *list = std::get_if<StoreWatcher::List>(&next);
    Http::Request request;
    if (list)
        request = Adapter::makeList(kind_, list->after);
    else
        request = Adapter::makeWatch(kind_, std::get<StoreWatcher::Watch>(next).since,
                                     std::get<StoreWatcher::Watch>(next).wait);
    countRequest("store", list ? "list" : "watch");
    const Core::Instant requestedAt = Core::SteadyClock::now();
    sources_.clientOf(Fleet::Source())
        .send(std::move(request), watcher_.timeout(),
              [this, generation = generation_, requestedAt,
               next](const Core::ErrorOr<Http::Response> &response) {
                  if (generation == generation_)
                      handleStoreResponse(response, requestedAt, next);
              });
}

void StoreLink::requestFromFeed(const Fleet::Source &source)
{
    listedObjects_.clear();
    const Fleet::RelayQuestion question = watcher_.makeRelayQuestion(kind_);
    const bool isList = question.form == Fleet::RelayQuestion::Form::List;
    countRequest("feed", isList ? "list" : "watch");
    const Core::Instant requestedAt = Core::SteadyClock::now();
    sources_.clientOf(source).send(
        {"POST", std::string(RelayServer::path), {}, FleetWire::encode(question)},
        feedTimeout(question),
        [this, generation = generation_, requestedAt, question,
         source](const Core::ErrorOr<Http::Response> &response) {
            if (generation == generation_)
                handleFeedResponse(response, requestedAt, question, source);
        });
}

void StoreLink::handleStoreResponse(const Core::ErrorOr<Http::Response> &response,
                                    Core::Instant requestedAt, const StoreWatcher::Call &requested)
{
    pendingSource_.reset();
    auto page = Adapter::readPage(response);
    if (page && watcher_.isFromOtherEra(page->revision)) {
        Observe::log(Observe::Severity::Warning, "store_era_differs",
                     {{"objects", std::string(Fleet::toString(kind_))},
                      {"era", std::to_string(Fleet::eraOf(page->revision))}});
        restartFromList();
        return;
    }
    if (page) {
        updateReachability(true, {});
        handleStorePage(std::move(*page), requestedAt, requested);
        // Handling the update may already have sent another request.
        if (pendingSource_)
            return;
        const Core::Duration pause = watcher_.batchDelay(requestedAt, Core::SteadyClock::now());
        sendRequestAfter(std::max(pause, std::exchange(initialWatchDelay_, Core::Duration())));
        return;
    }
    if (page.error().code == Core::ErrorCode::NotFound) {
        restartFromList();
        return;
    }
    sourceFailed(Fleet::Source(), SourceFailure::Silent, page.error().message);
}

void StoreLink::handleFeedResponse(const Core::ErrorOr<Http::Response> &response,
                                   Core::Instant requestedAt, const Fleet::RelayQuestion &requested,
                                   const Fleet::Source &source)
{
    pendingSource_.reset();
    if (!response) {
        sourceFailed(source, SourceFailure::Silent, response.error().message);
        return;
    }
    const auto answer = FleetWire::decodeRelayAnswer(response->body);
    if (!answer) {
        sourceFailed(source, SourceFailure::Silent, answer.error().message);
        return;
    }
    if (answer->outcome == Fleet::RelayOutcome::HistoryGone) {
        restartFromList();
        return;
    }
    if (answer->outcome != Fleet::RelayOutcome::Page) {
        sourceFailed(source, SourceFailure::Refused,
                     answer->outcome == Fleet::RelayOutcome::StoreLost
                         ? "the feed has no contact with the store"
                         : "the peer is not a feed");
        return;
    }
    const auto update = readFeedPage(*answer, requestedAt, requested);
    if (!update) {
        sourceFailed(source, SourceFailure::Refused, update.error().message);
        return;
    }
    sources_.answered(source);
    updateReachability(true, {});
    if (update->isList)
        (void)watcher_.listed({}, false, update->revision);
    else
        watcher_.changed(update->revision, !update->objects.empty());
    handlers_.updated(*update);
    // The feed has already batched changes in quick succession, so no delay is needed.
    if (!pendingSource_)
        sendRequest();
}

Core::ErrorOr<StoreUpdate> StoreLink::readFeedPage(const Fleet::RelayAnswer &answer,
                                                   Core::Instant requestedAt,
                                                   const Fleet::RelayQuestion &requested)
{
    const bool isWatch = requested.form == Fleet::RelayQuestion::Form::Watch;
    if (watcher_.isBehind(answer.revision)
        || (isWatch && Fleet::eraOf(answer.revision) != Fleet::eraOf(requested.since)))
        return Core::failure(Core::ErrorCode::Unavailable,
                             "the feed's revision is older than this proxy's: "
                                 + std::to_string(answer.revision));
    StoreUpdate update;
    update.isList = requested.form == Fleet::RelayQuestion::Form::List;
    update.revision = answer.revision;
    // The feed counts from the arrival of the question, which is later than requestedAt, so this
    // instant is a safe lower bound.
    update.confirmedAt = std::min(requestedAt + answer.confirmed, Core::SteadyClock::now());
    if (Core::SteadyClock::now() > update.confirmedAt + Fleet::maximumConfirmationAge(kind_))
        return Core::failure(Core::ErrorCode::Unavailable,
                             "the feed's last confirmation by the store is too old");
    for (Fleet::RelayedObject relayed : answer.objects) {
        (void)TRY(resolveDelta(relayed));
        update.objects.push_back(TRY(Adapter::fromRelayed(kind_, relayed)));
    }
    return update;
}

Core::ErrorOr<std::monostate> StoreLink::resolveDelta(Fleet::RelayedObject &relayed)
{
    if (relayed.delta)
        relayed.text = TRY(Fleet::applyDelta(knownTexts_[relayed.key], *relayed.delta));
    if (kind_ == ObjectKind::Configuration)
        knownTexts_[relayed.key] = relayed.text;
    return std::monostate();
}

void StoreLink::restartFromList()
{
    watcher_.restart();
    listedObjects_.clear();
    sendRequest();
}

void StoreLink::sourceFailed(const Fleet::Source &source, SourceFailure failure,
                             const std::string &why)
{
    listedObjects_.clear();
    const bool hasAlternativeSource = !source.isStore() || !sources_.current().isStore();
    if (sources_.failed(source, failure, why) == Fleet::NextTry::Now || hasAlternativeSource) {
        sendRequest();
        return;
    }
    watcher_.failed();
    updateReachability(false, why);
    if (!pendingSource_)
        sendRequestAfter(sources_.hasFeeds()
                             ? std::max(watcher_.retryDelay(), Fleet::storeProbeInterval)
                             : watcher_.retryDelay());
}

void StoreLink::sendRequestAfter(Core::Duration delay)
{
    if (delay == Core::Duration()) {
        sendRequest();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(delay.milliseconds()));
    timer_.async_wait([this, generation = generation_](boost::system::error_code error) {
        if (!error && generation == generation_)
            sendRequest();
    });
}

void StoreLink::handleStorePage(Adapter::StorePage page, Core::Instant requestedAt,
                                const StoreWatcher::Call &requested)
{
    const auto *list = std::get_if<StoreWatcher::List>(&requested);
    if (kind_ == ObjectKind::Configuration) {
        for (const auto &object : page.objects)
            knownTexts_[object.name] = Adapter::toRelayed(object).text;
    }
    if (!list) {
        watcher_.changed(page.revision, !page.objects.empty());
        const Core::Instant confirmedAt =
            watcher_.confirmedAt(requestedAt, !page.objects.empty(), Core::SteadyClock::now());
        handlers_.updated({false, std::move(page.objects), page.revision, confirmedAt});
        return;
    }
    if (list->after.empty()) {
        listedObjects_.clear();
        listRequestedAt_ = requestedAt;
        listRevision_ = page.revision;
    }
    std::ranges::move(page.objects, std::back_inserter(listedObjects_));
    const std::string lastName =
        listedObjects_.empty() ? std::string() : listedObjects_.back().name;
    if (watcher_.listed(lastName, page.hasMore, page.revision) == StoreWatcher::Position::Complete)
        handlers_.updated(
            {true, std::exchange(listedObjects_, {}), listRevision_, listRequestedAt_});
}

void StoreLink::updateReachability(bool isReachable, const std::string &why)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    handlers_.reachabilityChanged(isReachable, why);
}

} // namespace Chervilpin::SessionProxy
