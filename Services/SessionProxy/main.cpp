#include <Observe/Log.h>
#include <Services/SessionProxy/Node.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace Chervilpin::SessionProxy {

namespace {

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

const std::string helpFooter = R"(Examples:
  chervilpin-sessiond --config /etc/chervilpin/settings.toml --check
  chervilpin-sessiond --config /etc/chervilpin/settings.toml

SIGTERM and SIGINT stop it gracefully within limits.stop_grace_s; SIGHUP reloads the settings.

Exit codes:
  0  stopped gracefully, or the settings are in order (--check)
  2  the command line or the settings are wrong
  3  an address is invalid or can't be listened on)";

void waitForSignal(boost::asio::signal_set &signals, Node &node, const std::string &path)
{
    signals.async_wait([&](boost::system::error_code error, int number) {
        if (error)
            return;
        if (number != SIGHUP) {
            node.stop();
        } else if (const auto settings = readSettings(path)) {
            node.reload(*settings);
        } else {
            Observe::log(Observe::Severity::Warning, "settings_refused",
                         {{"why", settings.error().message}});
        }
        waitForSignal(signals, node, path);
    });
}

int runDaemon(const SessionProxySettings &settings, const std::string &path)
{
    Observe::initializeLog("chervilpin-sessiond", settings.node.view(), settings.logLevel,
                           Observe::LogTarget::StandardOutput);
    boost::asio::io_context context{1};
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    Node node(context, settings, [&] { context.stop(); });
    const auto started = node.start();
    if (!started) {
        Observe::log(Observe::Severity::Error, "start_failed", {{"why", started.error().message}});
        Observe::flushLog();
        return exitCannotStart;
    }
    waitForSignal(signals, node, path);
    context.run();
    Observe::flushLog();
    return exitOk;
}

int runMain(int argc, char **argv)
{
    CLI::App app("The chervilpin session proxy; one runs on each VM.", "chervilpin-sessiond");
    std::string path = "/etc/chervilpin/settings.toml";
    bool isCheck = false;
    app.add_option("--config", path, "The TOML file with the settings")->capture_default_str();
    app.add_flag("--check", isCheck, "Check the settings and exit");
    app.set_version_flag("--version", "0.1.0");
    app.footer(helpFooter);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? exitOk : exitBadSettings;
    }
    const auto settings = readSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return exitBadSettings;
    }
    if (isCheck) {
        std::cout << path << ": the settings are in order\n";
        return exitOk;
    }
    return runDaemon(*settings, path);
}

} // namespace

} // namespace Chervilpin::SessionProxy

int main(int argc, char **argv)
{
    return Chervilpin::SessionProxy::runMain(argc, argv);
}
