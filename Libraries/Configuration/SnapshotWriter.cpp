#include <Configuration/SnapshotWriter.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Configuration {

namespace {

constexpr Platform::Version firstVersion = 1;

} // namespace

SnapshotWriter::SnapshotWriter(const Settings &settings, const ChangeLog &log, CallIds &ids)
    : settings_(settings)
    , log_(log)
    , pending_(ids)
{ }

void SnapshotWriter::require()
{
    isRequired_ = true;
}

void SnapshotWriter::consider(Core::Instant now, Actions &actions)
{
    const bool isDue = log_.revision() >= head_.revision + settings_.snapshotEvery;
    if (step_ != Step::Idle || now < notBefore_ || log_.revision() == 0)
        return;
    if (isDue || isRequired_)
        call(Step::ReadingHead, Platform::Get{std::string(headKey)}, now, actions);
}

void SnapshotWriter::tick(Core::Instant now, Actions &)
{
    if (!pending_.expire(now))
        return;
    step_ = Step::Idle;
    notBefore_ = now + settings_.retryPause;
}

bool SnapshotWriter::reply(const Platform::Reply &reply, Core::Instant now, Actions &actions)
{
    if (!pending_.accept(reply))
        return false;
    if (std::holds_alternative<Platform::NoAnswer>(reply.body)) {
        step_ = Step::Idle;
        notBefore_ = now + settings_.retryPause;
        return true;
    }
    using Handler = void (SnapshotWriter::*)(const Platform::ReplyBody &, Core::Instant, Actions &);
    static constexpr Handler handlers[] = {
        nullptr,
        &SnapshotWriter::handleHead,
        &SnapshotWriter::handlePart,
        &SnapshotWriter::handleHeadWritten,
        &SnapshotWriter::handleDeleted,
    };
    const Handler handler = handlers[static_cast<std::size_t>(step_)];
    if (handler != nullptr)
        (this->*handler)(reply.body, now, actions);
    return true;
}

void SnapshotWriter::handleHead(const Platform::ReplyBody &body, Core::Instant now,
                                Actions &actions)
{
    head_ = {};
    headVersion_ = 0;
    const auto *objects = std::get_if<Platform::Objects>(&body);
    if (objects != nullptr && objects->objects.size() == 1) {
        head_ = decodeHead(objects->objects.front().value).value_or(Head());
        headVersion_ = objects->objects.front().version;
    }
    // A platform without any snapshot gets one when asked for; otherwise only after enough changes.
    const Revision needed = isRequired_ ? 1 : settings_.snapshotEvery;
    isRequired_ = false;
    if (log_.revision() >= head_.revision + needed)
        begin(now, actions);
    else
        step_ = Step::Idle;
}

void SnapshotWriter::begin(Core::Instant now, Actions &actions)
{
    text_ = encodeSnapshot(*log_.snapshot());
    next_.revision = log_.revision();
    next_.parts = static_cast<std::uint32_t>((text_.size() + settings_.platformPartBytes - 1)
                                             / settings_.platformPartBytes);
    const Revision retained = settings_.retainedChanges;
    next_.oldestChange = next_.revision > retained ? next_.revision - retained : 1;
    next_.oldestChange = std::max(next_.oldestChange, head_.oldestChange);
    partsWritten_ = 0;
    writePart(now, actions);
}

void SnapshotWriter::writePart(Core::Instant now, Actions &actions)
{
    const std::size_t offset = partsWritten_ * settings_.platformPartBytes;
    call(Step::WritingPart,
         Platform::Put{snapshotKey(next_.revision, partsWritten_),
                       text_.substr(offset, settings_.platformPartBytes), 0},
         now, actions);
}

void SnapshotWriter::handlePart(const Platform::ReplyBody &body, Core::Instant now,
                                Actions &actions)
{
    const auto *conflict = std::get_if<Platform::VersionConflict>(&body);
    const std::size_t offset = partsWritten_ * settings_.platformPartBytes;
    const bool isSame = conflict != nullptr
        && conflict->current.value
            == std::string_view(text_).substr(offset, settings_.platformPartBytes);
    if (!isSame && !std::holds_alternative<Platform::Objects>(body)) {
        step_ = Step::Idle;
        notBefore_ = now + settings_.retryPause;
        return;
    }
    ++partsWritten_;
    if (partsWritten_ < next_.parts)
        writePart(now, actions);
    else
        writeHead(now, actions);
}

void SnapshotWriter::writeHead(Core::Instant now, Actions &actions)
{
    call(Step::WritingHead, Platform::Put{std::string(headKey), encodeHead(next_), headVersion_},
         now, actions);
}

void SnapshotWriter::handleHeadWritten(const Platform::ReplyBody &body, Core::Instant now,
                                       Actions &actions)
{
    step_ = Step::Idle;
    if (!std::holds_alternative<Platform::Objects>(body)) {
        notBefore_ = now + settings_.retryPause;
        return;
    }
    planDeletions();
    head_ = next_;
    actions.emplace_back(Event{EventKind::SnapshotWritten, head_.revision, ""});
    deleteNext(firstVersion, now, actions);
}

void SnapshotWriter::planDeletions()
{
    deletions_.clear();
    for (std::uint32_t part = 0; part < head_.parts; ++part)
        deletions_.push_back(snapshotKey(head_.revision, part));
    const Revision first = std::max<Revision>(head_.oldestChange, 1);
    for (Revision revision = first; revision < next_.oldestChange; ++revision)
        deletions_.push_back(changeKey(revision));
}

void SnapshotWriter::deleteNext(Platform::Version version, Core::Instant now, Actions &actions)
{
    if (deletions_.empty()) {
        step_ = Step::Idle;
        return;
    }
    const std::string &key = deletions_.front();
    const bool isChange = key.starts_with(changePrefix) && settings_.guards.keepsTombstones;
    if (isChange)
        call(Step::Deleting, Platform::Put{key, std::string(tombstone), version}, now, actions);
    else
        call(Step::Deleting, Platform::Delete{key, version}, now, actions);
}

void SnapshotWriter::handleDeleted(const Platform::ReplyBody &body, Core::Instant now,
                                   Actions &actions)
{
    const auto *conflict = std::get_if<Platform::VersionConflict>(&body);
    const bool isStillThere = conflict != nullptr && conflict->current.version != 0
        && conflict->current.value != tombstone;
    if (isStillThere) {
        deleteNext(conflict->current.version, now, actions);
        return;
    }
    deletions_.pop_front();
    deleteNext(firstVersion, now, actions);
}

void SnapshotWriter::call(Step step, Platform::CallBody body, Core::Instant now, Actions &actions)
{
    step_ = step;
    pending_.start(std::move(body), now + settings_.callTimeout, actions);
}

} // namespace Chervilpin::Configuration
