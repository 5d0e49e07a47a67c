#pragma once

#include <cstddef>
#include <string_view>

namespace Chervilpin::Fleet {

/// The kinds of objects in the store that a proxy follows.
enum class ObjectKind {
    Directory,     ///< The databases, each of which writes its own entry.
    Configuration, ///< The configuration set by the operators.
    Records,       ///< The records of the proxies (see Records.h).
    Evacuations,   ///< The data centres that the operators are evacuating.
};

constexpr std::size_t objectKindCount = 4;

[[nodiscard]] constexpr std::string_view toString(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Directory:
        return "directory";
    case ObjectKind::Configuration:
        return "configuration";
    case ObjectKind::Evacuations:
        return "evacuations";
    case ObjectKind::Records:
        break;
    }
    return "records";
}

} // namespace Chervilpin::Fleet
