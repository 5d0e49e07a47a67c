#include <Configuration/LogReader.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Configuration {

namespace {

constexpr unsigned maxDoublings = 2; ///< Of the pause between failed attempts.

/// The single object of a reply, or nullptr.
const Platform::Object *singleObject(const Platform::ReplyBody &body)
{
    const auto *objects = std::get_if<Platform::Objects>(&body);
    if (objects == nullptr || objects->objects.size() != 1)
        return nullptr;
    return &objects->objects.front();
}

} // namespace

LogReader::LogReader(const Settings &settings, ChangeLog &log, CallIds &ids)
    : settings_(settings)
    , log_(log)
    , pending_(ids)
{ }

void LogReader::start(Core::Instant from)
{
    readReason_ = ReadReason::Start;
    resumeAt_ = from;
}

void LogReader::setDuty(WatchDuty duty, Core::Instant now)
{
    if (duty == duty_)
        return;
    duty_ = duty;
    if (duty == WatchDuty::Watches)
        catchUp(now);
}

void LogReader::catchUp(Core::Instant now)
{
    readReason_ = ReadReason::CatchUp;
    if (step_ == Step::Resting)
        resumeAt_ = std::min(resumeAt_, now);
}

void LogReader::tick(Core::Instant now, Actions &actions)
{
    if (pending_.expire(now)) {
        handle(Platform::NoAnswer{false, "no reply in time"}, now, actions);
        return;
    }
    if (pending_.isWaiting() || step_ != Step::Resting || now < resumeAt_)
        return;
    const bool peersBroughtIt = log_.revision() > 0 && duty_ == WatchDuty::Rests;
    if (readReason_ == ReadReason::Start && peersBroughtIt)
        readReason_ = ReadReason::None;
    if (readReason_ != ReadReason::None || duty_ == WatchDuty::Watches)
        readHead(now, actions);
}

bool LogReader::reply(const Platform::Reply &reply, Core::Instant now, Actions &actions)
{
    if (!pending_.accept(reply))
        return false;
    handle(reply.body, now, actions);
    return true;
}

bool LogReader::takeStoreWentBack()
{
    return std::exchange(storeWentBack_, false);
}

void LogReader::handle(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    if (const auto *failure = std::get_if<Platform::NoAnswer>(&body)) {
        actions.emplace_back(
            Event{EventKind::PlatformUnavailable, log_.revision(), failure->message});
        pause(now);
        return;
    }
    using Handler = void (LogReader::*)(const Platform::ReplyBody &, Core::Instant, Actions &);
    static constexpr Handler handlers[] = {
        nullptr,
        &LogReader::handleHead,
        &LogReader::handlePart,
        &LogReader::handleChange,
        &LogReader::handleCheck,
        &LogReader::handleRepair,
        &LogReader::handleWatch,
    };
    const Handler handler = handlers[static_cast<std::size_t>(step_)];
    if (handler != nullptr)
        (this->*handler)(body, now, actions);
}

void LogReader::handleHead(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    const Platform::Object *object = singleObject(body);
    if (object == nullptr) {
        readNextChange(now, actions);
        return;
    }
    const auto head = decodeHead(object->value);
    if (!head) {
        actions.emplace_back(Event{EventKind::PlatformGarbage, 0, head.error().message});
        readNextChange(now, actions);
        return;
    }
    head_ = *head;
    noteStoreRevision(std::get<Platform::Objects>(body).revision, actions);
    if (head_.revision <= log_.revision()) {
        readNextChange(now, actions);
        return;
    }
    parts_.clear();
    partsRead_ = 0;
    readPart(now, actions);
}

void LogReader::handlePart(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    const Platform::Object *object = singleObject(body);
    if (object == nullptr) {
        // The snapshot was superseded while it was read; its successor is found through the head.
        pause(now);
        return;
    }
    parts_ += object->value;
    ++partsRead_;
    if (partsRead_ < head_.parts)
        readPart(now, actions);
    else
        adoptParts(now, actions);
}

void LogReader::adoptParts(Core::Instant now, Actions &actions)
{
    auto snapshot = decodeSnapshot(parts_);
    parts_.clear();
    if (!snapshot) {
        actions.emplace_back(
            Event{EventKind::PlatformGarbage, head_.revision, snapshot.error().message});
        pause(now);
        return;
    }
    log_.adopt(std::move(*snapshot));
    readNextChange(now, actions);
}

void LogReader::handleChange(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    const Platform::Object *object = singleObject(body);
    if (object == nullptr) {
        readReason_ = ReadReason::None;
        failures_ = 0;
        if (duty_ == WatchDuty::Watches)
            checkNewest(now, actions);
        else
            step_ = Step::Resting;
        return;
    }
    const AppendResult result = log_.append(object->value);
    if (result == AppendResult::Applied || result == AppendResult::AlreadyHeld) {
        readNextChange(now, actions);
        return;
    }
    if (result == AppendResult::Garbage && object->value != tombstone) {
        actions.emplace_back(
            Event{EventKind::PlatformGarbage, log_.revision() + 1, "change can't be read"});
    }
    // What replaces a tombstone is the snapshot, which is read first after the pause.
    pause(now);
}

void LogReader::checkNewest(Core::Instant now, Actions &actions)
{
    if (log_.text(log_.revision()) == nullptr) {
        watch(now, actions);
        return;
    }
    call(Step::Checking, Platform::Get{changeKey(log_.revision())}, now + settings_.callTimeout,
         actions);
}

void LogReader::handleCheck(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    const Platform::Object *object = singleObject(body);
    if (object == nullptr) {
        beginRepair(now, actions);
        return;
    }
    log_.append(object->value); // Reports a fork if it differs from what is in force.
    watch(now, actions);
}

void LogReader::beginRepair(Core::Instant now, Actions &actions)
{
    actions.emplace_back(Event{EventKind::StoreWentBack, log_.revision(),
                               "the platform lacks a change that is in force"});
    storeWentBack_ = true;
    repairNext_ = log_.oldestHeld();
    repairNext(now, actions);
}

void LogReader::repairNext(Core::Instant now, Actions &actions)
{
    const std::string *text = log_.text(repairNext_);
    if (text == nullptr) {
        watch(now, actions);
        return;
    }
    call(Step::Repairing, Platform::Put{changeKey(repairNext_), *text, 0},
         now + settings_.callTimeout, actions);
}

void LogReader::handleRepair(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    if (std::holds_alternative<Platform::Objects>(body))
        actions.emplace_back(Event{EventKind::StoreRepaired, repairNext_, ""});
    if (const auto *conflict = std::get_if<Platform::VersionConflict>(&body))
        log_.append(conflict->current.value);
    ++repairNext_;
    repairNext(now, actions);
}

void LogReader::handleWatch(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    const Revision revisionBefore = log_.revision();
    if (const auto *objects = std::get_if<Platform::Objects>(&body)) {
        noteStoreRevision(objects->revision, actions);
        for (const Platform::Object &object : objects->objects) {
            if (object.version != 0)
                log_.append(object.value);
        }
    }
    // A watch may end early or skip changes, so the log is read on in any case, though not in a
    // tight loop.
    if (duty_ == WatchDuty::Rests)
        step_ = Step::Resting;
    else if (log_.revision() == revisionBefore && now < watchStarted_ + settings_.retryPause)
        pause(now);
    else
        readNextChange(now, actions);
}

void LogReader::noteStoreRevision(Platform::StoreRevision revision, Actions &actions)
{
    if (revision < since_) {
        actions.emplace_back(Event{EventKind::StoreWentBack, log_.revision(),
                                   "the platform's own revision went back"});
    }
    since_ = revision;
}

void LogReader::readHead(Core::Instant now, Actions &actions)
{
    call(Step::ReadingHead, Platform::Get{std::string(headKey)}, now + settings_.callTimeout,
         actions);
}

void LogReader::readPart(Core::Instant now, Actions &actions)
{
    call(Step::ReadingPart, Platform::Get{snapshotKey(head_.revision, partsRead_)},
         now + settings_.callTimeout, actions);
}

void LogReader::readNextChange(Core::Instant now, Actions &actions)
{
    call(Step::ReadingChange, Platform::Get{changeKey(log_.revision() + 1)},
         now + settings_.callTimeout, actions);
}

void LogReader::watch(Core::Instant now, Actions &actions)
{
    watchStarted_ = now;
    call(Step::Watching, Platform::Watch{std::string(changePrefix), since_, settings_.watchWait},
         now + settings_.watchWait + settings_.callTimeout, actions);
}

void LogReader::pause(Core::Instant now)
{
    step_ = Step::Resting;
    if (readReason_ == ReadReason::None)
        readReason_ = ReadReason::CatchUp;
    resumeAt_ = now + settings_.retryPause * (1LL << failures_);
    failures_ = std::min(failures_ + 1, maxDoublings);
}

void LogReader::call(Step step, Platform::CallBody body, Core::Instant deadline, Actions &actions)
{
    step_ = step;
    pending_.start(std::move(body), deadline, actions);
}

} // namespace Chervilpin::Configuration
