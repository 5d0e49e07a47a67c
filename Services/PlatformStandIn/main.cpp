#include "PlatformService.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <iostream>

using Chervilpin::Core::Duration;
using Chervilpin::PlatformStandIn::PlatformService;

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stands in for the platform's object service in tests.");
    app.footer(
        "Example: chervilpin-platform-stand-in --listen 127.0.0.1:7000 --vm-list-lag-ms 500");
    PlatformService::Settings settings;
    std::int64_t delay = 0;
    std::int64_t lag = 0;
    app.add_option("--listen", settings.listenAddress, "IP:PORT to serve HTTP on")->required();
    app.add_option("--delay-ms", delay, "Time that every answer takes")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--vm-list-lag-ms", lag, "Time until the list of VMs shows a change")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--journal", settings.journalPath, "File that keeps the objects over a restart");
    CLI11_PARSE(app, argumentCount, arguments);
    settings.delay = Duration(delay);
    settings.vmListLag = Duration(lag);

    boost::asio::io_context context(1);
    const auto service = PlatformService::create(context, settings);
    if (!service) {
        std::cerr << "chervilpin-platform-stand-in: " << service.error().message << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, int) { context.stop(); });
    std::cout << "event=listening address=" << settings.listenAddress << std::endl;
    context.run();
    return 0;
}
