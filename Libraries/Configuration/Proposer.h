#pragma once

#include <Configuration/ChangeLog.h>
#include <Configuration/PendingCall.h>
#include <Configuration/Proposal.h>

#include <deque>

namespace Chervilpin::Configuration {

/// Brings operators' proposals into the platform's log, one at a time.
///
/// A proposal is accepted once the log's next object was created with it. If another change got
/// that number, the proposal is checked anew on top of it. A call without an answer is repeated
/// with the same text, which its nonce makes harmless.
class Proposer
{
public:
    Proposer(const Settings &settings, ChangeLog &log, CallIds &ids);

    void propose(Proposal, Core::Instant now, Actions &);
    void tick(Core::Instant now, Actions &);
    /// Returns false if the reply is for another part.
    [[nodiscard]] bool reply(const Platform::Reply &, Core::Instant now, Actions &);
    /// Whether the log was found to be too old since the last call, so that it must be read anew.
    [[nodiscard]] bool takeNeedsCatchUp();

private:
    enum class Step {
        Idle,
        Creating,
        Pausing,
    };
    struct Job
    {
        Proposal proposal;
        Core::Instant deadline;
    };

    void begin(Core::Instant now, Actions &);
    void attempt(Core::Instant now, Actions &);
    void create(Core::Instant now, Actions &);
    void handle(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleCreated(const Platform::ReplyBody &, Core::Instant now, Actions &);
    void handleNoAnswer(const Platform::NoAnswer &, Core::Instant now, Actions &);
    void takeWinner(const Platform::Object &, Core::Instant now, Actions &);
    void pause(Core::Instant now);
    void expire(Core::Instant now, Actions &);
    void accept(Revision, Core::Instant now, Actions &);
    void finish(ProposalAnswer, Core::Instant now, Actions &);

    const Settings &settings_;
    ChangeLog &log_;
    CallIds &ids_;
    PendingCall pending_;
    std::deque<Job> jobs_; ///< The first is being worked on.
    Step step_ = Step::Idle;
    Core::Instant resumeAt_;
    std::string text_;                ///< Of the change being created.
    Revision created_ = 0;            ///< Its number.
    bool mayHaveTakenEffect_ = false; ///< A creation of created_ went without an answer.
    bool needsCatchUp_ = false;
    std::string winner_;
};

} // namespace Chervilpin::Configuration
