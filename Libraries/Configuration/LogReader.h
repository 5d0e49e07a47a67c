#pragma once

#include <Configuration/ChangeLog.h>
#include <Configuration/PendingCall.h>

namespace Chervilpin::Configuration {

enum class WatchDuty {
    Watches, ///< Keeps a watch on the platform's log.
    Rests,   ///< Relies on peers, and reads the platform only if they bring nothing.
};

/// Brings the platform's log into the node's, and the node's back into a platform that lost it.
///
/// A watching node alternates: wait for changes, read on until none is missing, check that the
/// platform still holds the newest change, and write back what it has lost.
class LogReader
{
public:
    LogReader(const Settings &settings, ChangeLog &log, CallIds &ids);

    /// \a from is when to look at the platform first.
    void start(Core::Instant from);
    void setDuty(WatchDuty, Core::Instant now);
    /// Reads the platform from the snapshot on, soon.
    void catchUp(Core::Instant now);
    void tick(Core::Instant now, Actions &);
    /// Returns false if the reply is for another part.
    [[nodiscard]] bool reply(const Platform::Reply &, Core::Instant now, Actions &);
    /// Whether the platform was found to lack changes since the last call.
    [[nodiscard]] bool takeStoreWentBack();

private:
    enum class Step {
        Resting,
        ReadingHead,
        ReadingPart,
        ReadingChange,
        Checking,
        Repairing,
        Watching,
    };

    enum class ReadReason {
        None,
        Start,   ///< Only if peers don't bring the configuration first.
        CatchUp, ///< In any case.
    };

    void handle(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleHead(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handlePart(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleChange(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleCheck(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleRepair(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleWatch(const Platform::ReplyBody &, Core::Instant now, Actions &);

    void readHead(Core::Instant now, Actions &);
    void readPart(Core::Instant now, Actions &);
    void readNextChange(Core::Instant now, Actions &);
    void checkNewest(Core::Instant now, Actions &);
    void repairNext(Core::Instant now, Actions &);
    void watch(Core::Instant now, Actions &);
    void beginRepair(Core::Instant now, Actions &);
    void adoptParts(Core::Instant now, Actions &);
    void pause(Core::Instant now);
    void call(Step, Platform::CallBody, Core::Instant deadline, Actions &);
    void noteStoreRevision(Platform::StoreRevision, Actions &);

    const Settings &settings_;
    ChangeLog &log_;
    PendingCall pending_;
    WatchDuty duty_ = WatchDuty::Rests;
    Step step_ = Step::Resting;
    Core::Instant resumeAt_;
    ReadReason readReason_ = ReadReason::None;
    unsigned failures_ = 0; ///< Pauses since the platform last answered usefully.
    Platform::StoreRevision since_ = 0;
    Head head_;
    std::string parts_;
    std::uint32_t partsRead_ = 0;
    Revision repairNext_ = 0;
    Core::Instant watchStarted_;
    bool storeWentBack_ = false;
};

} // namespace Chervilpin::Configuration
