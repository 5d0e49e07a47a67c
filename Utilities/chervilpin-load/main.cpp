#include <Utilities/chervilpin-load/Generator.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <iostream>

namespace Chervilpin::Load {

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr std::int64_t maximumSeconds = 600;
constexpr int maximumIdleConnections = 10'000;

const std::string helpFooter = R"(Example:
  chervilpin-load --proxy 127.0.0.1:7701 --proxy 127.0.0.1:7702 --route registry \
      --team brokers,cvp_k1_secret,200,250,50 --seconds 10 --history /tmp/history-

Each figure is printed as key=value. Latencies count from the moment at which a request was due, so
that answers which hold up later requests show in them (no coordinated omission).)";

struct CommandLine
{
    Options options;
    std::vector<std::string> teams;
    std::int64_t seconds = 10;
    std::int64_t statedAgeMilliseconds = 1000;
    std::int64_t deadlineMilliseconds = 5000;
};

void addOptions(CLI::App &app, CommandLine &line)
{
    Options &options = line.options;
    app.add_option("--proxy", options.proxies, "IP:port of a proxy; repeatable")->required();
    app.add_option(
        "--admin", options.admins,
        "IP:port of a proxy's admin listener, in the order of --proxy; only proxies that "
        "are ready are sent to");
    app.add_option("--idle-connections", options.idleConnections,
                   "Connections to the first proxy that say nothing")
        ->check(CLI::Range(0, maximumIdleConnections));
    app.add_option("--route", options.routes, "A route; repeatable")->required();
    app.add_option("--team", line.teams, "name,key,offered/s,rate/s,burst; repeatable")->required();
    app.add_option("--seconds", line.seconds, "How long requests are sent")
        ->check(CLI::Range(std::int64_t{1}, maximumSeconds));
    app.add_option("--seed", options.seed, "Of arrivals and choices");
    app.add_option("--write-share", options.writeShare)->check(CLI::Range(0.0, 1.0));
    app.add_option("--aged-share", options.agedShare, "Reads with a stated age")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--strong-share", options.strongShare, "Strong reads")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--max-age-ms", line.statedAgeMilliseconds);
    app.add_option("--deadline-ms", line.deadlineMilliseconds);
    app.add_option("--sessions", options.sessionsPerTeam, "Sessions of each team");
    app.add_option("--history", options.historyPrefix,
                   "Prefix of the files for chervilpin-audit, one a route");
    app.add_option("--timeline", options.timelinePath, "A CSV line for each request");
    app.add_option("--json", options.jsonPath, "Writes the figures as JSON as well");
    app.footer(helpFooter);
}

int run(CommandLine &line)
{
    for (const auto &text : line.teams) {
        const auto team = TeamOptions::create(text);
        if (!team) {
            std::cerr << "chervilpin-load: " << team.error().message << '\n';
            return exitUsage;
        }
        line.options.teams.push_back(*team);
    }
    constexpr std::int64_t millisecondsPerSecond = 1000;
    line.options.length = Core::Duration(line.seconds * millisecondsPerSecond);
    line.options.statedAge = Core::Duration(line.statedAgeMilliseconds);
    line.options.deadline = Core::Duration(line.deadlineMilliseconds);
    boost::asio::io_context context(1);
    const auto generator = Generator::create(context, line.options);
    if (!generator) {
        std::cerr << "chervilpin-load: " << generator.error().message << '\n';
        return exitUsage;
    }
    (*generator)->start();
    context.run();
    std::cout << (*generator)->report().toText();
    if (!line.options.jsonPath.empty())
        std::ofstream(line.options.jsonPath) << (*generator)->report().toJson();
    return exitOk;
}

} // namespace

} // namespace Chervilpin::Load

int main(int argc, char **argv)
{
    CLI::App app("Sends bounded load to proxies on loopback and prints figures.",
                 "chervilpin-load");
    Chervilpin::Load::CommandLine line;
    Chervilpin::Load::addOptions(app, line);
    CLI11_PARSE(app, argc, argv);
    return Chervilpin::Load::run(line);
}
