#include <Core/Verify.h>

#include <cstdio>
#include <cstdlib>

namespace Chervilpin::Core {

void verificationFailed(const char *expression, const char *file, int line)
{
    std::fprintf(stderr, "event=invariant_broken expression=\"%s\" file=%s line=%d\n", expression,
                 file, line);
    std::abort();
}

} // namespace Chervilpin::Core
