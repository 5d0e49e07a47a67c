#include <Core/Error.h>

namespace Chervilpin::Core {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::ResourceExhausted:
        return "resource_exhausted";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace Chervilpin::Core
