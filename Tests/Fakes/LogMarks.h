#pragma once

#include <Core/LogMark.h>

namespace Chervilpin::Fakes {

/// For use in macros, which take a braced list for several arguments.
constexpr Core::LogMark logMark(Core::Term term, Core::LogPosition position)
{
    return {term, position};
}

} // namespace Chervilpin::Fakes
