#include <Services/SessionProxy/StoreLink.h>

#include <Core/SteadyClock.h>
#include <Fleet/RelayTiming.h>
#include <FleetWire/RelayCodec.h>
#include <Services/SessionProxy/RelayServer.h>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace Chervilpin::SessionProxy {

using Fleet::ObjectKind;
using Fleet::SourceFailure;
using Fleet::StoreWatcher;

namespace {

/// Lists are long, so their answers may take as long as those to questions about records.
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
    call();
}

void StoreLink::refresh()
{
    watcher_.restart();
    call();
}

void StoreLink::refreshFromStore()
{
    watcher_.restart();
    callAt(Fleet::Source());
}

void StoreLink::sourceMoved()
{
    if (askedOf_ && !askedOf_->isStore() && *askedOf_ != sources_.current())
        call();
}

void StoreLink::call()
{
    callAt(sources_.current());
}

void StoreLink::callAt(const Fleet::Source &source)
{
    ++generation_;
    askedOf_ = source;
    if (source.isStore())
        askStore();
    else
        askFeed(source);
}

void StoreLink::countCall(std::string_view target, std::string_view form)
{
    metrics_.add("chervilpin_follow_calls_total",
                 "target=\"" + std::string(target) + "\",objects=\""
                     + std::string(Fleet::toString(kind_)) + "\",form=\"" + std::string(form)
                     + "\"");
}

void StoreLink::askStore()
{
    const bool isRecordsOfFeed = kind_ == ObjectKind::Records && sources_.isFeed();
    watcher_.setWait(isRecordsOfFeed ? Fleet::feedRecordsWatchTimeout : Fleet::watchTimeout(kind_));
    const StoreWatcher::Call next = watcher_.next();
    const auto *list = std::get_if<StoreWatcher::List>(&next);
    Http::Request request;
    if (list)
        request = Adapter::makeList(kind_, list->after);
    else
        request = Adapter::makeWatch(kind_, std::get<StoreWatcher::Watch>(next).since,
                                     std::get<StoreWatcher::Watch>(next).wait);
    countCall("store", list ? "list" : "watch");
    const Core::Instant askedAt = Core::SteadyClock::now();
    sources_.clientOf(Fleet::Source())
        .send(std::move(request), watcher_.timeout(),
              [this, generation = generation_, askedAt,
               next](const Core::ErrorOr<Http::Response> &response) {
                  if (generation == generation_)
                      storeAnswered(response, askedAt, next);
              });
}

void StoreLink::askFeed(const Fleet::Source &source)
{
    pages_.clear();
    const Fleet::RelayQuestion question = watcher_.makeRelayQuestion(kind_);
    const bool isList = question.form == Fleet::RelayQuestion::Form::List;
    countCall("feed", isList ? "list" : "watch");
    const Core::Instant askedAt = Core::SteadyClock::now();
    sources_.clientOf(source).send(
        {"POST", std::string(RelayServer::path), {}, FleetWire::encode(question)},
        feedTimeout(question),
        [this, generation = generation_, askedAt, question,
         source](const Core::ErrorOr<Http::Response> &response) {
            if (generation == generation_)
                feedAnswered(response, askedAt, question, source);
        });
}

void StoreLink::storeAnswered(const Core::ErrorOr<Http::Response> &response, Core::Instant askedAt,
                              const StoreWatcher::Call &asked)
{
    askedOf_.reset();
    auto page = Adapter::readPage(response);
    if (page) {
        noteReachable(true, {});
        takePage(std::move(*page), askedAt, asked);
        // What was learned may have led to another question.
        if (askedOf_)
            return;
        const Core::Duration pause = watcher_.batchDelay(askedAt, Core::SteadyClock::now());
        callAfter(std::max(pause, std::exchange(firstPause_, Core::Duration())));
        return;
    }
    if (page.error().code == Core::ErrorCode::NotFound) {
        historyGone();
        return;
    }
    sourceFailed(Fleet::Source(), SourceFailure::Silent, page.error().message);
}

void StoreLink::feedAnswered(const Core::ErrorOr<Http::Response> &response, Core::Instant askedAt,
                             const Fleet::RelayQuestion &asked, const Fleet::Source &source)
{
    askedOf_.reset();
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
        historyGone();
        return;
    }
    if (answer->outcome != Fleet::RelayOutcome::Page) {
        sourceFailed(source, SourceFailure::Refused,
                     answer->outcome == Fleet::RelayOutcome::StoreLost ? "the feed lost the store"
                                                                       : "the feed is none");
        return;
    }
    const auto news = readFeedPage(*answer, askedAt, asked);
    if (!news) {
        sourceFailed(source, SourceFailure::Refused, news.error().message);
        return;
    }
    sources_.answered(source);
    noteReachable(true, {});
    if (news->isList)
        (void)watcher_.listed({}, false, news->revision);
    else
        watcher_.changed(news->revision, !news->objects.empty());
    handlers_.news(*news);
    // The feed has taken changes in quick succession together.
    if (!askedOf_)
        call();
}

Core::ErrorOr<StoreNews> StoreLink::readFeedPage(const Fleet::RelayAnswer &answer,
                                                 Core::Instant askedAt,
                                                 const Fleet::RelayQuestion &asked) const
{
    if (watcher_.isBehind(answer.revision))
        return Core::failure(Core::ErrorCode::Unavailable, "the feed knows less than this proxy");
    StoreNews news;
    news.isList = asked.form == Fleet::RelayQuestion::Form::List;
    news.revision = answer.revision;
    // The question came to the feed after it was asked here.
    news.confirmedAt = std::min(askedAt + answer.confirmed, Core::SteadyClock::now());
    if (Core::SteadyClock::now() > news.confirmedAt + Fleet::maximumConfirmationAge(kind_))
        return Core::failure(Core::ErrorCode::Unavailable, "the feed's knowledge is too old");
    for (const auto &relayed : answer.objects)
        news.objects.push_back(TRY(Adapter::fromRelayed(relayed)));
    return news;
}

void StoreLink::historyGone()
{
    watcher_.restart();
    pages_.clear();
    call();
}

void StoreLink::sourceFailed(const Fleet::Source &source, SourceFailure failure,
                             const std::string &why)
{
    pages_.clear();
    const bool isAnotherLeft = !source.isStore() || !sources_.current().isStore();
    if (sources_.failed(source, failure, why) == Fleet::NextTry::Now || isAnotherLeft) {
        call();
        return;
    }
    watcher_.failed();
    noteReachable(false, why);
    if (!askedOf_)
        callAfter(sources_.hasFeeds() ? std::max(watcher_.retryDelay(), Fleet::storeProbeInterval)
                                      : watcher_.retryDelay());
}

void StoreLink::callAfter(Core::Duration delay)
{
    if (delay == Core::Duration()) {
        call();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(delay.milliseconds()));
    timer_.async_wait([this, generation = generation_](boost::system::error_code error) {
        if (!error && generation == generation_)
            call();
    });
}

void StoreLink::takePage(Adapter::StorePage page, Core::Instant askedAt,
                         const StoreWatcher::Call &asked)
{
    const auto *list = std::get_if<StoreWatcher::List>(&asked);
    if (!list) {
        watcher_.changed(page.revision, !page.objects.empty());
        const Core::Instant confirmedAt =
            watcher_.confirmedAt(askedAt, !page.objects.empty(), Core::SteadyClock::now());
        handlers_.news({false, std::move(page.objects), page.revision, confirmedAt});
        return;
    }
    if (list->after.empty()) {
        pages_.clear();
        listAskedAt_ = askedAt;
        listRevision_ = page.revision;
    }
    std::ranges::move(page.objects, std::back_inserter(pages_));
    const std::string lastName = pages_.empty() ? std::string() : pages_.back().name;
    if (watcher_.listed(lastName, page.hasMore, page.revision) == StoreWatcher::Position::Complete)
        handlers_.news({true, std::exchange(pages_, {}), listRevision_, listAskedAt_});
}

void StoreLink::noteReachable(bool isReachable, const std::string &why)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    handlers_.reachable(isReachable, why);
}

} // namespace Chervilpin::SessionProxy
