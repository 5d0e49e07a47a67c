#pragma once

#include <string>
#include <string_view>

namespace Chervilpin::Core {

/// The class of a failure. Callers branch on this and never on the message.
enum class ErrorCode {
    InvalidArgument,   ///< The input can never be accepted as it is.
    NotFound,          ///< The named thing does not exist.
    Conflict,          ///< The thing changed since it was read.
    Unauthenticated,   ///< No credential, or one that is unknown or withdrawn.
    Forbidden,         ///< The credential is valid but does not permit this.
    ResourceExhausted, ///< A limit is reached; trying again later can succeed.
    Unavailable,       ///< The other end can't be reached; nothing was changed by it.
    Timeout,           ///< No answer in time; the effect is unknown.
    Internal,          ///< A defect of this program.
};

/// The lower-case name of a code, as used in logs and answers.
[[nodiscard]] std::string_view toString(ErrorCode);

/// A failure as a value: a class and one English sentence for people.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

} // namespace Chervilpin::Core
