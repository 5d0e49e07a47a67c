#include "Fetch.h"

#include <StandIn/AuditChecker.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

using namespace Chervilpin;
using StandIn::AuditedDatabase;
using StandIn::HistoryEntry;

namespace {

constexpr int exitBroken = 1;
constexpr int exitUnreadable = 2;

Core::ErrorOr<std::vector<HistoryEntry>> readHistory(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Core::failure(Core::ErrorCode::NotFound, "can't read " + path);
    std::vector<HistoryEntry> history;
    std::string line;
    for (std::size_t number = 1; std::getline(file, line); ++number) {
        auto entry = HistoryEntry::create(line);
        if (!entry)
            return Core::failure(entry.error().code,
                                 path + ':' + std::to_string(number) + ": "
                                     + entry.error().message);
        history.push_back(std::move(*entry));
    }
    return history;
}

Core::ErrorOr<std::vector<AuditedDatabase>> readDatabases(const std::vector<std::string> &addresses)
{
    std::vector<AuditedDatabase> databases;
    for (const auto &address : addresses) {
        const auto audit = TRY(Audit::fetch(address, "/audit"));
        const auto log = TRY(Audit::fetch(address, "/log"));
        databases.push_back(TRY(AuditedDatabase::create(audit, log)));
    }
    return databases;
}

Core::ErrorOr<StandIn::AuditReport> check(const std::string &historyPath,
                                          const std::vector<std::string> &addresses)
{
    const auto history = TRY(readHistory(historyPath));
    const auto databases = TRY(readDatabases(addresses));
    return StandIn::AuditChecker(databases, history).check();
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Checks what callers were told against what the databases of one group ran.\n"
                 "Exits with 0 if every promise was kept, 1 if not, 2 if something can't be read.");
    app.footer("Example: chervilpin-audit --history calls.jsonl --control 127.0.0.1:7201 "
               "--control 127.0.0.1:7202 --control 127.0.0.1:7203");
    std::string historyPath;
    std::vector<std::string> addresses;
    app.add_option("--history", historyPath, "JSON lines; docs/notes/stand-ins.md has the fields")
        ->required();
    app.add_option("--control", addresses, "IP:PORT of a database's control; repeatable")
        ->required();
    CLI11_PARSE(app, argumentCount, arguments);

    const auto report = check(historyPath, addresses);
    if (!report) {
        std::cerr << "chervilpin-audit: " << report.error().message << '\n';
        return exitUnreadable;
    }
    std::cout << report->toText() << '\n';
    return report->isClean() ? 0 : exitBroken;
}
