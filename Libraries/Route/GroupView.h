#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Route/DatabaseView.h>
#include <Route/SampleHistory.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Route {

/// A primary and its term.
struct Primary
{
    Core::DatabaseName database;
    Core::Term term = 0;
};

/// The state of one group as known to this node, from the statuses in all replies.
class GroupView
{
public:
    GroupView(Core::GroupName group, const std::vector<Core::DatabaseName> &databases);

    /// Applies a changed list of the group's databases. Databases that remain keep their state.
    void setDatabases(const std::vector<Core::DatabaseName> &databases, Core::Instant now);

    /// Processes a status. \a asked is the stamp taken just before the request was sent.
    void observe(const Core::DatabaseName &database, const Upstream::Status &status,
                 const Stamp &asked, Core::Instant now);
    void setReachability(const Core::DatabaseName &database, Reachability reachability,
                         Core::Instant now);
    /// A statement was sent to the database.
    void started(const Core::DatabaseName &database, Core::Instant now);
    /// A statement was answered or abandoned after \a latency.
    void finished(const Core::DatabaseName &database, Core::Duration latency, Core::Instant now);
    /// The database answered Behind after \a wait.
    void wasBehind(const Core::DatabaseName &database, Core::Duration wait, Core::Instant now);

    [[nodiscard]] const Core::GroupName &group() const { return group_; }
    [[nodiscard]] const std::map<Core::DatabaseName, DatabaseView> &databases() const
    {
        return databases_;
    }
    [[nodiscard]] const SampleHistory &samples() const { return samples_; }
    /// The smallest number of databases that is more than half of the group.
    [[nodiscard]] std::size_t majority() const { return databases_.size() / 2 + 1; }
    [[nodiscard]] Core::Term highestKnownTerm() const;
    /// The primary of the highest term, unless a majority is known to be fenced above that term.
    [[nodiscard]] std::optional<Primary> primary() const;

    /// Whether a majority was proved to hold the mark in its term, so that it cannot be lost.
    [[nodiscard]] bool isHeldByMajority(Core::LogMark mark) const;
    /// Whether so many databases were fenced without the mark that no majority can ever hold it.
    [[nodiscard]] bool canNeverBeHeldByMajority(Core::LogMark mark) const;
    /// Whether a majority is known to be fenced above the term, so that its primary is superseded.
    [[nodiscard]] bool isFencedAbove(Core::Term term) const;
    /// Whether a majority was proved not to be fenced above the term after the stamp, so that no
    /// write of a higher term was acknowledged before the stamp.
    [[nodiscard]] bool wasCurrentAfter(Core::Term term, const Stamp &since) const;
    /// Like wasCurrentAfter(), but compares times: at or after the instant.
    [[nodiscard]] bool wasCurrentSince(Core::Term term, Core::Instant since) const;
    /// The expected time until the database contains the mark.
    [[nodiscard]] Core::Duration expectedWait(const Core::DatabaseName &database,
                                              Core::LogMark mark, Core::Instant now) const;

private:
    void recordPrimarySample(const Core::DatabaseName &database, const Sample &sample);
    void updateCatchUpDelay(DatabaseView &view, const Upstream::Status &status,
                            Core::Instant now) const;
    [[nodiscard]] const DatabaseView *find(const Core::DatabaseName &database) const;
    [[nodiscard]] DatabaseView *find(const Core::DatabaseName &database);

    Core::GroupName group_;
    std::map<Core::DatabaseName, DatabaseView> databases_;
    /// The primaries of the latest terms. A primary holds every entry that a replica of its term
    /// holds.
    std::map<Core::Term, Core::DatabaseName> primaryOfTerm_;
    SampleHistory samples_;
};

} // namespace Chervilpin::Route
