#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What is said between a decision module and the platform's object service.
///
/// A module returns Calls and is later given the Reply with the same id. The shell makes the call
/// over HTTP; docs/CONTRACTS.md has the paths.
namespace Chervilpin::Platform {

using CallId = std::uint64_t;

/// Grows by one with each change of an object. 0 means that the object doesn't exist.
using Version = std::uint64_t;

/// Grows with each change anywhere in the service; what watches resume from.
using StoreRevision = std::uint64_t;

struct Object
{
    std::string key; ///< A path of segments, such as `term/registry-1`.
    Version version = 0;
    std::string value; ///< At most a megabyte.
};

struct Get
{
    std::string key;
};

/// Writes if the object's version is still `expected` (0: if it doesn't exist).
struct Put
{
    std::string key;
    std::string value;
    Version expected = 0;
};

/// Deletes if the object's version is still `expected`.
struct Delete
{
    std::string key;
    Version expected = 0;
};

/// All objects whose key starts with the prefix, by key.
struct List
{
    std::string prefix;
};

/// Waits until something under the prefix is newer than `since`, at most `wait`.
struct Watch
{
    std::string prefix;
    StoreRevision since = 0;
    Core::Duration wait;
};

/// The platform's own list of VMs. It lags and may list the dead.
struct ListVms
{ };

using CallBody = std::variant<Get, Put, Delete, List, Watch, ListVms>;

struct Call
{
    CallId id = 0;
    CallBody body;
};

struct Vm
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
    std::string peerAddress; ///< IP:port where the proxy takes messages of other proxies.
    bool isLeaving = false;
};

/// The objects asked for; one for Get and Put. Objects of a Delete have version 0.
struct Objects
{
    std::vector<Object> objects;
    StoreRevision revision = 0;
};

struct Vms
{
    std::vector<Vm> vms;
};

/// The version was not the expected one; nothing was changed. Holds what is there now.
struct VersionConflict
{
    Object current;
};

struct Missing
{ };

/// No usable answer. The call may have taken effect unless `isRefused`.
struct NoAnswer
{
    bool isRefused = false; ///< The service was never reached, so nothing was changed.
    std::string message;
};

using ReplyBody = std::variant<Objects, Vms, VersionConflict, Missing, NoAnswer>;

struct Reply
{
    CallId id = 0;
    ReplyBody body;
};

} // namespace Chervilpin::Platform
