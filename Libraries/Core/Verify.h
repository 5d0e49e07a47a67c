#pragma once

namespace Chervilpin::Core {

/// Prints the broken invariant with its place and aborts the process.
[[noreturn]] void verificationFailed(const char *expression, const char *file, int line);

} // namespace Chervilpin::Core

/// Checks an invariant of the program itself. Never used for bad input, which is an Error.
#define VERIFY(expression)                                                                         \
    do {                                                                                           \
        if (!(expression)) [[unlikely]]                                                            \
            ::Chervilpin::Core::verificationFailed(#expression, __FILE__, __LINE__);               \
    } while (false)
