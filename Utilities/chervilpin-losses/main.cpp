#include <Losses/LossReport.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

using namespace Chervilpin;

namespace {

constexpr int exitUnreadable = 2;

void addLines(std::istream &input, Losses::LossReport &report)
{
    for (std::string text; std::getline(input, text);) {
        if (const auto line = Losses::EventLine::create(text))
            report.add(*line);
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app(
        "Counts the statements that a fleet of chervilpin-sessiond did not serve, by cause.\n"
        "Exits with 0, or with 2 if a file can't be read or an option is wrong.");
    app.footer("Example: chervilpin-losses --by cause,second proxy-1.log proxy-2.log");
    std::string columnNames = "cause";
    bool showsTimes = false;
    std::vector<std::string> paths;
    app.add_option("--by", columnNames, "Columns: cause, second, node, team, route")
        ->capture_default_str();
    app.add_flag("--times", showsTimes,
                 "Also the mean times of the sampled statements that were done");
    app.add_option("files", paths, "Logs; standard input if there are none");
    CLI11_PARSE(app, argumentCount, arguments);

    const auto columns = Losses::parseColumns(columnNames);
    if (!columns) {
        std::cerr << "chervilpin-losses: --by: " << columns.error().message << '\n';
        return exitUnreadable;
    }
    Losses::LossReport report(*columns);
    if (paths.empty())
        addLines(std::cin, report);
    for (const auto &path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "chervilpin-losses: can't read " << path << '\n';
            return exitUnreadable;
        }
        addLines(file, report);
    }
    std::cout << report.toCsv();
    if (showsTimes)
        std::cout << '\n' << report.timesToCsv();
    return 0;
}
