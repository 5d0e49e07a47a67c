#include <Core/Incarnation.h>
#include <Core/SteadyClock.h>
#include <Observe/Log.h>
#include <Services/Proxy/ActionRunner.h>
#include <Services/Proxy/CallerApi.h>
#include <Settings/DaemonSettings.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <iostream>

namespace Chervilpin::Proxy {

namespace {

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

const std::string helpFooter = R"(Examples:
  chervilpind --config /etc/chervilpin/chervilpind.toml --check
  chervilpind --config /etc/chervilpin/chervilpind.toml

SIGTERM and SIGINT stop it gracefully: it turns unready, finishes the running requests, hands its
shares and claims back and exits.

Exit codes:
  0  stopped gracefully, or the settings are in order (--check)
  2  the command line or the settings are wrong; each problem is printed with file, line and field
  3  an address could not be listened on)";

/// The process: timers, signals and listeners around one ActionRunner.
class Daemon
{
public:
    explicit Daemon(Settings::DaemonSettings settings)
        : settings_(std::move(settings))
        , signals_(context_, SIGTERM, SIGINT)
        , ticker_(context_)
    {
        settings_.node.incarnation = Core::newIncarnation();
    }

    Core::ErrorOr<std::monostate> start()
    {
        runner_ = TRY(ActionRunner::create(context_, settings_, metrics_, [this] { stop(); }));
        Http::ServerLimits limits;
        limits.connections = settings_.maximumConnections;
        callers_ = TRY(
            Http::Server::create(context_, settings_.callerListen, limits,
                                 [this](const Http::Request &request, Http::Responder responder) {
                                     handleCaller(*runner_, request, std::move(responder));
                                 }));
        admin_ = TRY(Http::Server::create(
            context_, settings_.adminListen, Http::ServerLimits(),
            [this](const Http::Request &request, const Http::Responder &responder) {
                metrics_.set("chervilpin_caller_connections", "",
                             static_cast<std::int64_t>(callers_->connectionCount()));
                handleAdmin(*runner_, metrics_, request, responder);
            }));
        waitForSignal();
        scheduleTick();
        Observe::log(Observe::Severity::Info, "started",
                     {{"callers", settings_.callerListen}, {"peers", settings_.peerListen}});
        return std::monostate();
    }

    void run() { context_.run(); }

private:
    void waitForSignal()
    {
        signals_.async_wait([this](boost::system::error_code error, int number) {
            if (error)
                return;
            Observe::log(Observe::Severity::Info, "stopping", {{"signal", std::to_string(number)}});
            runner_->shutDown();
        });
    }

    void scheduleTick()
    {
        ticker_.expires_after(std::chrono::milliseconds(Engine::tickInterval.milliseconds()));
        ticker_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            runner_->tick();
            scheduleTick();
        });
    }

    void stop()
    {
        // The answers that were just given still have to be written; connections close after them.
        callers_->stopAccepting();
        closeDeadline_.emplace(context_);
        closeDeadline_->expires_after(closeCheckInterval);
        closeDeadline_->async_wait([this](boost::system::error_code) { stopWhenClosed(); });
    }

    void stopWhenClosed()
    {
        if (callers_->connectionCount() > 0 && ++closeChecks_ < maximumCloseChecks) {
            closeDeadline_->expires_after(closeCheckInterval);
            closeDeadline_->async_wait([this](boost::system::error_code) { stopWhenClosed(); });
            return;
        }
        Observe::log(Observe::Severity::Info, "stopped");
        context_.stop();
    }

    static constexpr std::chrono::milliseconds closeCheckInterval{10};
    static constexpr int maximumCloseChecks = 200;

    Settings::DaemonSettings settings_;
    boost::asio::io_context context_{1};
    Observe::Metrics metrics_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer ticker_;
    std::optional<boost::asio::steady_timer> closeDeadline_;
    int closeChecks_ = 0;
    std::unique_ptr<ActionRunner> runner_;
    std::unique_ptr<Http::Server> callers_;
    std::unique_ptr<Http::Server> admin_;
};

int runDaemon(const Settings::DaemonSettings &settings)
{
    Observe::initializeLog("chervilpind", settings.node.name.view(), settings.logLevel);
    Daemon daemon(settings);
    const auto started = daemon.start();
    if (!started) {
        Observe::log(Observe::Severity::Error, "start_failed",
                     {{"message", started.error().message}});
        return exitCannotStart;
    }
    daemon.run();
    return exitOk;
}

int runMain(int argc, char **argv)
{
    CLI::App app("The chervilpin database proxy; one on each VM.", "chervilpind");
    std::string configPath;
    bool isCheck = false;
    app.add_option("--config", configPath, "The TOML file with the settings")->required();
    app.add_flag("--check", isCheck, "Check the settings and exit");
    app.set_version_flag("--version", "0.1.0");
    app.footer(helpFooter);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? exitOk : exitBadSettings;
    }
    const auto settings = Settings::readSettings(configPath);
    if (!settings) {
        for (const auto &problem : settings.error())
            std::cerr << problem.toString() << '\n';
        return exitBadSettings;
    }
    if (isCheck) {
        std::cout << configPath << ": the settings are in order\n";
        return exitOk;
    }
    return runDaemon(*settings);
}

} // namespace

} // namespace Chervilpin::Proxy

int main(int argc, char **argv)
{
    return Chervilpin::Proxy::runMain(argc, argv);
}
