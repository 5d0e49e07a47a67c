#pragma once

#include <Utilities/chervilpinctl/Client.h>
#include <Utilities/chervilpinctl/ExitCode.h>
#include <Utilities/chervilpinctl/ResourceFile.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace Chervilpin::Control {

enum class Output {
    Table,
    Json,
};

/// Where commands print to, and in which form.
struct Console
{
    std::ostream &out;
    std::ostream &err;
    Output output = Output::Table;
};

struct ApplyOptions
{
    std::vector<std::string> files;
    std::string nonce; ///< Empty: a random one.
    bool isDryRun = false;
};

struct WatchOptions
{
    std::string kind;     ///< Empty: all kinds.
    unsigned changes = 0; ///< End after that many; 0: go on.
};

struct DeleteOptions
{
    std::string kind;
    std::string name;
    std::optional<std::uint64_t> resourceVersion;
};

/// The commands of chervilpinctl over a client.
class Commands
{
public:
    Commands(const Client &client, Console &console)
        : client_(client)
        , console_(console)
    { }

    [[nodiscard]] ExitCode apply(const ApplyOptions &);
    [[nodiscard]] ExitCode diff(const std::vector<std::string> &files);
    [[nodiscard]] ExitCode get(const std::string &kind, const std::string &name);
    [[nodiscard]] ExitCode describe(const std::string &kind, const std::string &name);
    [[nodiscard]] ExitCode watch(const WatchOptions &);
    [[nodiscard]] ExitCode remove(const DeleteOptions &);
    [[nodiscard]] ExitCode status();
    [[nodiscard]] ExitCode createKey(const std::string &team, const std::string &name);
    [[nodiscard]] ExitCode createOperator(const std::string &name);
    /// Prints a credential with its salt and digest, for settings; asks no server.
    [[nodiscard]] ExitCode makeOfflineOperator(const std::string &name);

private:
    enum class Mode {
        Real,
        DryRun,
    };

    [[nodiscard]] tl::expected<ResourceSet, ExitCode> load(const std::vector<std::string> &files);
    [[nodiscard]] ExitCode change(const ResourceSet &, const std::string &nonce, Mode);
    [[nodiscard]] ExitCode createCredential(std::string_view prefix, const std::string &kind,
                                            const std::string &name, boost::json::object spec);
    [[nodiscard]] ExitCode explain(const tl::expected<Response, Failure> &, const ResourceSet &);
    [[nodiscard]] tl::expected<boost::json::object, ExitCode> fetch(const std::string &target);
    [[nodiscard]] tl::expected<boost::json::object, ExitCode>
    fetchPatiently(const std::string &target);

    const Client &client_;
    Console &console_;
};

} // namespace Chervilpin::Control
