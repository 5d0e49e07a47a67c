#pragma once

#include <Core/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Chervilpin::StandIn {

enum class Verb {
    Get,
    Put,
    Add,
    Append,
};

/// One statement of the stand-in's language: `get KEY`, `put KEY VALUE`, `add KEY N` or
/// `append KEY VALUE`. A key has no spaces; a value may have.
struct StatementText
{
    Verb verb = Verb::Get;
    std::string key;
    std::string value;       ///< For Put and Append.
    std::int64_t amount = 0; ///< For Add.

    /// Fails with InvalidArgument for any other text.
    [[nodiscard]] static Core::ErrorOr<StatementText> create(std::string_view text);
};

} // namespace Chervilpin::StandIn
