#pragma once

#include <Core/Random.h>
#include <Core/Result.h>
#include <Http/Client.h>
#include <Utilities/chervilpin-load/Balancer.h>
#include <Utilities/chervilpin-load/IdleConnections.h>
#include <Utilities/chervilpin-load/Options.h>
#include <Utilities/chervilpin-load/Report.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chervilpin::Load {

/// Sends requests at times that don't depend on the answers (an open loop), from a seed.
///
/// Each request belongs to a session, which goes to another proxy each time and presents the token
/// of its last answer. A session sends one request at a time; when all of a team's sessions are
/// busy, a new one is made, so that slow answers never slow the arrivals.
class Generator
{
public:
    static Core::ErrorOr<std::unique_ptr<Generator>> create(boost::asio::io_context &,
                                                            const Options &);

    /// Schedules everything. The context runs out of work once the last answer has come.
    void start();
    [[nodiscard]] const Report &report() const { return report_; }

private:
    struct Session
    {
        std::string name;
        std::string key; ///< Of the row that only this session writes.
        std::size_t route = 0;
        std::string token;
        std::uint64_t writes = 0;
        bool isBusy = false;
    };

    struct Team
    {
        TeamOptions options;
        std::vector<std::unique_ptr<Session>> sessions;
        double modelTokens = 0; ///< Of the bucket that the configuration grants.
        std::int64_t modelMicroseconds = 0;
        std::int64_t nextMicroseconds = 0; ///< When the next arrival is due.
    };

    /// One request under way.
    struct Pending
    {
        Session *session = nullptr;
        Sample sample;
        std::string writtenId; ///< Of a write.
    };

    Generator(boost::asio::io_context &, const Options &);

    void schedule();
    void sendDue();
    void sendOne(Team &, std::int64_t planned);
    [[nodiscard]] bool takeModelToken(Team &, std::int64_t now) const;
    Session &freeSession(Team &);
    void answered(const std::shared_ptr<Pending> &, const Core::ErrorOr<Http::Response> &);
    void writeHistory(const Pending &, std::uint64_t position);
    [[nodiscard]] std::string bodyFor(Pending &);

    Options options_;
    Core::Random random_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<Balancer> balancer_;
    std::unique_ptr<IdleConnections> idleConnections_;
    std::vector<Team> teams_;
    std::vector<std::ofstream> histories_; ///< By route.
    std::ofstream timeline_;
    std::int64_t startMicroseconds_ = 0;
    std::int64_t endMicroseconds_ = 0;
    std::uint64_t outstanding_ = 0;
    Report report_;
};

} // namespace Chervilpin::Load
