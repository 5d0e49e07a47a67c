#pragma once

#include <Configuration/ChangeLog.h>
#include <Configuration/PendingCall.h>

#include <deque>

namespace Chervilpin::Configuration {

/// Writes the configuration as a snapshot into the platform and deletes what it makes superfluous.
///
/// Parts come first and the head last, by conditional update, so that a reader never sees half a
/// snapshot and of two writers one wins. Any failure ends the attempt; a later one starts anew.
class SnapshotWriter
{
public:
    SnapshotWriter(const Settings &settings, const ChangeLog &log, CallIds &ids);

    /// Starts if enough changes came since the last known snapshot.
    void consider(Core::Instant now, Actions &);
    /// Makes the next consider() start whatever is known of the last snapshot.
    void require();
    void tick(Core::Instant now, Actions &);
    /// Returns false if the reply is for another part.
    [[nodiscard]] bool reply(const Platform::Reply &, Core::Instant now, Actions &);

private:
    enum class Step {
        Idle,
        ReadingHead,
        WritingPart,
        WritingHead,
        Deleting,
    };

    void handleHead(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handlePart(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleHeadWritten(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleDeleted(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void begin(Core::Instant now, Actions &);
    void writePart(Core::Instant now, Actions &);
    void writeHead(Core::Instant now, Actions &);
    void planDeletions();
    void deleteNext(Platform::Version version, Core::Instant now, Actions &);
    void call(Step, Platform::CallBody, Core::Instant now, Actions &);

    const Settings &settings_;
    const ChangeLog &log_;
    PendingCall pending_;
    Step step_ = Step::Idle;
    bool isRequired_ = false;
    Core::Instant notBefore_;
    Head head_; ///< As last read or written.
    Platform::Version headVersion_ = 0;
    Head next_;
    std::string text_;
    std::uint32_t partsWritten_ = 0;
    std::deque<std::string> deletions_;
};

} // namespace Chervilpin::Configuration
