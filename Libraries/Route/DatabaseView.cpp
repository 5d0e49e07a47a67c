#include <Route/DatabaseView.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Chervilpin::Route {

namespace {
constexpr double smoothingFactor = 0.2;
/// The assumed replication delay of a replica before the first measurement.
constexpr double initialCatchUpMilliseconds = 5;
constexpr double latencyHalfLifeMilliseconds = 1000;
constexpr double minimumLatencyMilliseconds = 0.1;
/// After a replica misses a mark, its assumed delay is this multiple of the wait that was too
/// short.
constexpr double missFactor = 2;

void updateAverage(double &average, double value)
{
    average += smoothingFactor * (value - average);
}

auto progress(const Upstream::Status &status)
{
    return std::tuple(status.knownTerm, status.held);
}
} // namespace

DatabaseView::DatabaseView(Core::DatabaseName name)
    : name_(std::move(name))
    , catchUpMilliseconds_(initialCatchUpMilliseconds)
{ }

void DatabaseView::observe(const Upstream::Status &status, const Stamp &asked, Core::Instant now)
{
    const bool isLater = !status_ || asked.at > statusSeen_;
    const bool isAhead = !status_ || progress(status) >= progress(*status_);
    if (isLater && !isAhead)
        evidence_.discardAbove(status.held);
    evidence_.add(status, asked);
    if (!isLater && !isAhead)
        return;
    updateReplicationRate(status, now);
    status_ = status;
    statusAsked_ = asked;
    statusSeen_ = now;
}

void DatabaseView::setReachability(Reachability reachability, Core::Instant)
{
    reachability_ = reachability;
}

void DatabaseView::started(Core::Instant)
{
    ++inFlight_;
}

void DatabaseView::finished(Core::Duration latency, Core::Instant now)
{
    if (inFlight_ > 0)
        --inFlight_;
    latencyMilliseconds_ = expectedLatency(now);
    updateAverage(latencyMilliseconds_, static_cast<double>(latency.milliseconds()));
    latencySeen_ = now;
}

void DatabaseView::caughtUpBetween(Core::Duration minimum, Core::Duration maximum)
{
    // Statuses can be far apart, so the measurement only gives bounds. An estimate within the
    // bounds is consistent with it and stays unchanged.
    const auto low = static_cast<double>(minimum.milliseconds());
    const auto high = static_cast<double>(std::max(minimum, maximum).milliseconds());
    updateAverage(catchUpMilliseconds_, std::clamp(catchUpMilliseconds_, low, high));
}

void DatabaseView::wasBehind(Core::Duration wait)
{
    const double missed = missFactor * static_cast<double>(wait.milliseconds() + 1);
    catchUpMilliseconds_ = std::max(catchUpMilliseconds_, missed);
}

bool DatabaseView::isPrimary() const
{
    return status_ && status_->role == Upstream::Role::Primary
        && status_->held.term == status_->knownTerm;
}

Core::Duration DatabaseView::catchUpDelay() const
{
    return Core::Duration(std::llround(std::ceil(catchUpMilliseconds_)));
}

Core::LogMark DatabaseView::predictedHeld(Core::Instant at) const
{
    if (!status_)
        return {};
    Core::LogMark mark = status_->held;
    const auto elapsed =
        static_cast<double>(std::max<std::int64_t>(0, (at - statusSeen_).milliseconds()));
    mark.position += static_cast<Core::LogPosition>(positionsPerMillisecond_ * elapsed);
    return mark;
}

double DatabaseView::expectedLatency(Core::Instant now) const
{
    const auto idle =
        static_cast<double>(std::max<std::int64_t>(0, (now - latencySeen_).milliseconds()));
    const double decayed = latencyMilliseconds_ * std::exp2(-idle / latencyHalfLifeMilliseconds);
    return std::max(minimumLatencyMilliseconds, decayed);
}

void DatabaseView::updateReplicationRate(const Upstream::Status &status, Core::Instant now)
{
    if (!status_ || status_->held.term != status.held.term || now <= statusSeen_)
        return;
    if (status.held.position < status_->held.position)
        return;
    const auto gained = static_cast<double>(status.held.position - status_->held.position);
    const auto elapsed = static_cast<double>((now - statusSeen_).milliseconds());
    updateAverage(positionsPerMillisecond_, gained / elapsed);
}

} // namespace Chervilpin::Route
