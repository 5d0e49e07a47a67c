#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Chervilpin::StandIn {

/// A disturbance that a stand-in can be told to have.
enum class FaultKind {
    Pause,              ///< The process does nothing at all for a while.
    Delay,              ///< Every answer comes later.
    Refuse,             ///< Connections and requests are turned away unheard.
    DropAnswers,        ///< Requests take effect, their answers get lost.
    Cut,                ///< Nothing passes from and to one data centre.
    SilenceConnections, ///< Connections open now go silent for good.
    Crash,              ///< The process aborts.
    Lag,                ///< The replica asks for its primary's log more seldom.
    LateAnswers,        ///< The next answers come late, behind later ones.
    DuplicateAnswers,   ///< The next answers come twice.
    ReorderAnswers,     ///< Each next answer changes places with the one after it.
    OlderVersion,       ///< Reads show an older state.
    Wipe,               ///< All data is lost.
    Heal,               ///< All of these end, but for what is lost already.
};

/// A command as posted: `{"fault": "delay", "milliseconds": 50}`.
struct FaultCommand
{
    FaultKind kind = FaultKind::Heal;
    std::optional<Core::Duration> amount;   ///< `ms`: how late, or how long.
    std::optional<Core::Duration> duration; ///< `for_ms`: the fault ends by itself after this.
    std::optional<std::uint64_t> count;     ///< `count`: how many answers or revisions.
    Core::DataCentreName from;              ///< `from`: the data centre to cut.

    /// Fails with InvalidArgument naming the field that is wrong.
    [[nodiscard]] static Core::ErrorOr<FaultCommand> create(std::string_view json);
};

/// What is to become of one answer.
struct AnswerPlan
{
    unsigned copies = 1; ///< 0: the answer is lost.
    Core::Duration delay;
    bool changesPlaces = false; ///< It is sent after the next one.
};

/// The faults in force. Does no I/O; the shell asks it and acts.
class FaultBoard
{
public:
    /// Takes what lasts; Pause, Crash, SilenceConnections and Wipe are the shell's own to do.
    void apply(const FaultCommand &, Core::Instant now);

    [[nodiscard]] bool isRefusing(Core::Instant now) const;
    [[nodiscard]] bool isCut(const Core::DataCentreName &, Core::Instant now) const;
    [[nodiscard]] std::optional<Core::Duration> lag(Core::Instant now) const;
    [[nodiscard]] std::size_t revisionsBack(Core::Instant now) const;

    /// Decides on the next answer and counts it.
    [[nodiscard]] AnswerPlan planAnswer(Core::Instant now);

private:
    struct Window
    {
        Core::Duration amount;
        std::optional<Core::Instant> until;
        std::optional<std::uint64_t> remaining;
    };

    [[nodiscard]] const Window *inForce(FaultKind, Core::Instant now) const;
    /// Like inForce, and counts one use.
    [[nodiscard]] std::optional<Core::Duration> use(FaultKind, Core::Instant now);

    std::map<FaultKind, Window> windows_;
    std::map<Core::DataCentreName, Window> cuts_;
    std::size_t revisionsBack_ = 0;
};

} // namespace Chervilpin::StandIn
