#pragma once

#include <Core/Error.h>

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace Chervilpin::Core {

/// Either a value or the Error that prevented it.
template<typename T>
using ErrorOr = tl::expected<T, Error>;

/// Builds the failing side of an ErrorOr.
[[nodiscard]] inline tl::unexpected<Error> failure(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace Chervilpin::Core

/// Evaluates to the value of an ErrorOr, or returns its error from the enclosing function.
#define TRY(expression)                                                                            \
    ({                                                                                             \
        auto &&tryResult_ = (expression);                                                          \
        if (!tryResult_.has_value()) [[unlikely]]                                                  \
            return tl::unexpected(std::move(tryResult_).error());                                  \
        std::move(tryResult_).value();                                                             \
    })
