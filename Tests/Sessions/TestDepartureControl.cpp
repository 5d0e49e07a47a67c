#include <Sessions/DepartureControl.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Side = DepartureControl::Side;

namespace {

/// Two data centres whose proxies send reads to their own database or to the other one. The wait at
/// a database is known to the proxies only some time later.
class TwoDataCentres
{
public:
    static constexpr double roundTripMs = 8;
    static constexpr double serviceMs = 15;
    static constexpr double slots = 4;
    static constexpr std::int64_t reportDelayMs = 50;

    /// Plays \a span with so many reads a second in each data centre.
    void play(std::array<double, 2> perSecond, Core::Duration span)
    {
        for (std::int64_t ms = 0; ms < span.milliseconds(); ++ms) {
            now_ = now_ + 1_ms;
            for (std::size_t centre = 0; centre < 2; ++centre) {
                arrived_[centre] += perSecond[centre] / 1'000;
                for (; arrived_[centre] >= 1; arrived_[centre] -= 1)
                    read(centre);
            }
            for (std::size_t centre = 0; centre < 2; ++centre) {
                waiting_[centre] = std::max(0.0, waiting_[centre] - slots / serviceMs);
                history_[centre].push_back(waiting_[centre] * serviceMs / slots);
            }
        }
    }

    void reset()
    {
        times_.clear();
        left_ = 0;
    }

    [[nodiscard]] double meanMs() const
    {
        double sum = 0;
        for (const double time : times_)
            sum += time;
        return sum / static_cast<double>(times_.size());
    }
    [[nodiscard]] double leftShare() const
    {
        return static_cast<double>(left_) / static_cast<double>(times_.size());
    }
    Core::Duration crossingCost{0};
    bool mayLeave = true;

private:
    [[nodiscard]] double reportedWait(std::size_t centre) const
    {
        const auto &history = history_[centre];
        return history.size() > reportDelayMs ? history[history.size() - reportDelayMs] : 0;
    }

    void read(std::size_t centre)
    {
        const std::size_t other = 1 - centre;
        // Each data centre has ten proxies, which decide for themselves.
        DepartureControl &control = controls_[centre][next_++ % 10];
        const double near = serviceMs + reportedWait(centre);
        const double far = serviceMs + reportedWait(other) + roundTripMs;
        const Side side = mayLeave ? control.choose(near, far, crossingCost, now_) : Side::Near;
        const bool isFar = side == Side::Far;
        const std::size_t at = isFar ? other : centre;
        times_.push_back(serviceMs + waiting_[at] * serviceMs / slots + (isFar ? roundTripMs : 0));
        waiting_[at] += 1;
        left_ += isFar ? 1 : 0;
    }

    Core::Instant now_{100'000};
    std::array<std::array<DepartureControl, 10>, 2> controls_;
    std::array<double, 2> arrived_{};
    std::array<double, 2> waiting_{};
    std::array<std::vector<double>, 2> history_;
    std::vector<double> times_;
    std::size_t left_ = 0;
    std::size_t next_ = 0;
};

} // namespace

TEST_GROUP(DepartureControl){};

TEST(DepartureControl, NothingLeavesWhileNearIsFastEnough)
{
    DepartureControl control;
    for (Core::Instant now(1'000); now < Core::Instant(5'000); now = now + 10_ms)
        CHECK(control.choose(20, 21, 0_ms, now) == Side::Near);
    DOUBLES_EQUAL(0, control.share(), 0);
}

TEST(DepartureControl, ShareRisesAndFallsInSteps)
{
    DepartureControl control;
    Core::Instant now(1'000);
    for (; now < Core::Instant(1'450); now = now + 10_ms)
        (void)control.choose(100, 20, 0_ms, now);
    CHECK(control.share() > 0.3 && control.share() < 0.6);
    for (; now < Core::Instant(3'000); now = now + 10_ms)
        (void)control.choose(100, 20, 0_ms, now);
    DOUBLES_EQUAL(1, control.share(), 0.001);
    for (; now < Core::Instant(3'450); now = now + 10_ms)
        (void)control.choose(20, 30, 0_ms, now);
    CHECK(control.share() > 0.4 && control.share() < 0.7);
}

TEST(DepartureControl, CrossingCostKeepsReadsNear)
{
    DepartureControl control;
    for (Core::Instant now(1'000); now < Core::Instant(5'000); now = now + 10_ms)
        CHECK(control.choose(60, 20, 50_ms, now) == Side::Near);
}

/// One data centre has more reads than its database can run, the other has room.
TEST(DepartureControl, OverloadedDataCentreSendsWhatItCannotServe)
{
    TwoDataCentres alone;
    alone.mayLeave = false;
    alone.play({300, 60}, 4_s);
    TwoDataCentres both;
    both.play({300, 60}, 2_s);
    both.reset();
    both.play({300, 60}, 4_s);
    // Four slots run 267 reads a second, so at least a tenth of 360 has to leave.
    CHECK(both.leftShare() >= 0.09);
    CHECK(both.meanMs() < 60);
    CHECK(both.meanMs() * 2 < alone.meanMs());
}

/// Proxies that learn of the load late must not swing between both data centres.
TEST(DepartureControl, EvenLoadStaysAtHome)
{
    TwoDataCentres both;
    both.play({240, 240}, 6_s);
    CHECK(both.leftShare() <= 0.02);
    CHECK(both.meanMs() < 30);
}
