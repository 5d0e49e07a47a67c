#include <Utilities/chervilpinctl/Commands.h>
#include <Utilities/chervilpinctl/Completion.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>

using namespace Chervilpin::Control;

namespace {

constexpr int defaultTimeoutMilliseconds = 12'000;
constexpr std::chrono::milliseconds firstPause(250);

constexpr const char *footer = R"(Examples:
  chervilpinctl apply -f teams.toml -f routes.toml --dry-run
  chervilpinctl diff -f teams.toml
  chervilpinctl get Team -o json
  chervilpinctl describe UpstreamGroup registry-1
  chervilpinctl create-key brokers
  chervilpinctl delete Key brokers-1a2b3c
  chervilpinctl status
  chervilpinctl completion bash > /etc/bash_completion.d/chervilpinctl

Environment:
  CHERVILPIN_SERVER      addresses of proxies' operator ports, IP:PORT, with commas between
  CHERVILPIN_OPERATOR    the operator's credential, cvo_...

Exit codes:
  0  done
  1  refused: by the server, or by a check of the files
  2  the command line or a file can't be read
  3  conflict: somebody else changed the same resources first
  4  not reachable, or the platform behind it isn't; nothing was changed
  5  outcome unknown: the change may have been accepted; repeat it with the same --nonce)";

struct Options
{
    std::string server;
    std::string credentialFile;
    std::string output = "table";
    int timeoutMilliseconds = defaultTimeoutMilliseconds;
    ApplyOptions apply;
    WatchOptions watch;
    DeleteOptions remove;
    std::string kind;
    std::string name;
    std::string team;
    std::string shell = "bash";
    bool isOffline = false;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

std::string readCredential(const Options &options)
{
    std::string credential;
    if (!options.credentialFile.empty()) {
        std::ifstream stream(options.credentialFile);
        std::getline(stream, credential);
        return credential;
    }
    const char *variable = std::getenv("CHERVILPIN_OPERATOR");
    return variable == nullptr ? "" : variable;
}

ExitCode printCompletion(const std::string &shell)
{
    std::cout << (shell == "zsh" ? zshCompletion() : bashCompletion());
    return ExitCode::Done;
}

/// Joins each subcommand's options with what it runs.
class CommandLine
{
public:
    CommandLine()
    {
        app_.require_subcommand(1);
        app_.footer(footer);
        app_.add_option("--server", options_.server, "Operator port of a proxy, IP:PORT[,IP:PORT]")
            ->envname("CHERVILPIN_SERVER");
        app_.add_option("--credential-file", options_.credentialFile,
                        "File whose first line is the operator's credential");
        app_.add_option("-o,--output", options_.output, "table or json")
            ->check(CLI::IsMember({"table", "json"}));
        app_.add_option("--timeout-ms", options_.timeoutMilliseconds,
                        "How long to wait for each step")
            ->check(CLI::PositiveNumber);
        app_.fallthrough();
        addChanges();
        addReads();
        addCredentials();
    }

    int run(int argc, char **argv)
    {
        try {
            app_.parse(argc, argv);
        } catch (const CLI::ParseError &error) {
            return app_.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
        }
        const Client client(split(options_.server), readCredential(options_),
                            std::chrono::milliseconds(options_.timeoutMilliseconds), firstPause);
        Console console{std::cout, std::cerr,
                        options_.output == "json" ? Output::Json : Output::Table};
        Commands commands(client, console);
        for (const auto &[subcommand, action] : actions_) {
            if (subcommand->parsed())
                return static_cast<int>(action(commands));
        }
        return static_cast<int>(ExitCode::Usage);
    }

private:
    using Act = std::function<ExitCode(Commands &)>;

    CLI::App *add(const std::string &name, const std::string &text, Act action)
    {
        CLI::App *subcommand = app_.add_subcommand(name, text);
        actions_.emplace_back(subcommand, std::move(action));
        return subcommand;
    }

    void addChanges()
    {
        auto *apply = add("apply", "Bring resources to the state of files",
                          [this](Commands &commands) { return commands.apply(options_.apply); });
        addFiles(apply);
        apply->add_flag("--dry-run", options_.apply.isDryRun, "Check only; change nothing");
        apply->add_option("--nonce", options_.apply.nonce,
                          "Repeat an apply whose outcome is unknown");
        addFiles(add("diff", "Show what apply would change",
                     [this](Commands &commands) { return commands.diff(options_.apply.files); }));
        auto *remove = add("delete", "Delete a resource",
                           [this](Commands &commands) { return commands.remove(options_.remove); });
        remove->add_option("kind", options_.remove.kind)->required();
        remove->add_option("name", options_.remove.name)->required();
        remove->add_option("--resource-version", options_.remove.resourceVersion,
                           "Only if it still has this version");
    }

    void addReads()
    {
        auto *get = add("get", "Show resources of a kind, or one", [this](Commands &commands) {
            return commands.get(options_.kind, options_.name);
        });
        get->add_option("kind", options_.kind)->required();
        get->add_option("name", options_.name);
        auto *describe =
            add("describe", "Show one resource with its status", [this](Commands &commands) {
                return commands.describe(options_.kind, options_.name);
            });
        describe->add_option("kind", options_.kind)->required();
        describe->add_option("name", options_.name)->required();
        auto *watch = add("watch", "Show changes as they come in force",
                          [this](Commands &commands) { return commands.watch(options_.watch); });
        watch->add_option("kind", options_.watch.kind);
        watch->add_option("--changes", options_.watch.changes, "End after that many changes");
        add("status", "Show members, and which configuration they have in force",
            [](Commands &commands) { return commands.status(); });
        auto *completion = add("completion", "Print the completion script of a shell",
                               [this](Commands &) { return printCompletion(options_.shell); });
        completion->add_option("shell", options_.shell, "bash or zsh")
            ->check(CLI::IsMember({"bash", "zsh"}));
    }

    void addCredentials()
    {
        auto *key =
            add("create-key", "Make a key for a team and show it once", [this](Commands &commands) {
                return commands.createKey(options_.team, options_.name);
            });
        key->add_option("team", options_.team)->required();
        key->add_option("--name", options_.name, "Name of the key; random if left out");
        auto *person = add("create-operator", "Make an operator's credential and show it once",
                           [this](Commands &commands) {
                               return options_.isOffline
                                   ? commands.makeOfflineOperator(options_.name)
                                   : commands.createOperator(options_.name);
                           });
        person->add_option("name", options_.name)->required();
        person->add_flag("--offline", options_.isOffline,
                         "Print it with salt and digest for a proxy's settings; ask no server");
    }

    void addFiles(CLI::App *subcommand)
    {
        subcommand->add_option("-f,--file", options_.apply.files, "TOML or JSON file of resources")
            ->required()
            ->allow_extra_args(false);
    }

    CLI::App app_{"Operates chervilpin by its resources."};
    Options options_;
    std::vector<std::pair<CLI::App *, Act>> actions_;
};

} // namespace

int main(int argc, char **argv)
{
    return CommandLine().run(argc, argv);
}
