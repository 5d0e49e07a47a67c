#include "ControlService.h"
#include "DatabaseService.h"
#include "Options.h"
#include "Replicator.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::UpstreamStandIn;

namespace {

struct CommandLine
{
    Options options;
    std::vector<std::string> peers;
};

void describe(CLI::App &app, CommandLine &line)
{
    auto &options = line.options;
    app.set_config("--config", "", "TOML file with any of these options, without the dashes");
    app.add_option("--name", options.name, "Name of the database")->required();
    app.add_option("--group", options.group, "Name of its group")->required();
    app.add_option("--data-centre", options.dataCentre, "Its data centre")->required();
    app.add_option("--listen", options.listenAddress, "IP:PORT for gRPC")->required();
    app.add_option("--control", options.controlAddress, "IP:PORT for HTTP")->required();
    app.add_option("--initial-primary", options.initialPrimary,
                   "Name of the primary of term 1; without it the known term is 0");
    app.add_option("--peer", line.peers,
                   "NAME/DATA_CENTRE/IP:PORT of another database; repeatable");
    app.add_option("--journal", options.journalPath, "File that keeps the data over a restart");
    app.add_option("--slots", options.slots, "Statements that run at a time");
    app.add_option("--max-connections", options.maximumConnections, "Connections at a time");
    app.add_option("--max-queued", options.maximumWaiting, "Statements that wait for a slot");
    app.add_option("--connect-delay-ms", options.connectDelayMilliseconds)
        ->check(CLI::NonNegativeNumber);
    app.add_option("--lag-ms", options.lagMilliseconds, "Pause between pulls")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--lag-jitter-ms", options.lagJitterMilliseconds, "Added at random to --lag-ms")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--service-us", options.serviceMicroseconds, "Time that a statement runs")
        ->check(CLI::NonNegativeNumber);
    app.footer("Example: chervilpin-upstream-stand-in --name a --group g --data-centre dc1 "
               "--listen 127.0.0.1:7101 --control 127.0.0.1:7201 --initial-primary a "
               "--peer b/dc2/127.0.0.1:7102 --peer c/dc3/127.0.0.1:7103");
}

Core::ErrorOr<void> run(const CommandLine &line)
{
    auto options = line.options;
    for (const auto &peer : line.peers) {
        if (auto added = addPeer(options, peer); !added)
            return added;
    }
    boost::asio::io_context context(1);
    const auto seed = std::hash<std::string>()(options.name);
    const auto database = TRY(Database::create(context, std::move(options)));
    const auto control = TRY(ControlService::create(*database));
    DatabaseService service(*database);
    const auto server = TRY(service.listen());
    Replicator replicator(*database, seed);
    database->onFaultsChanged([&replicator] { replicator.schedule(); });
    database->onPrimaryChanged([&replicator] { replicator.restart(); });
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, int) { context.stop(); });
    std::cout << "event=listening database=" << database->options().name
              << " address=" << database->options().listenAddress
              << " control=" << database->options().controlAddress << std::endl;
    context.run();
    // Streams and pulls still refer to objects of this function, so none of it is torn down.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stands in for one database of an upstream group in tests.");
    CommandLine line;
    describe(app, line);
    CLI11_PARSE(app, argumentCount, arguments);
    const auto result = run(line);
    std::cerr << "chervilpin-upstream-stand-in: " << result.error().message << '\n';
    return 1;
}
