#include <Core/Incarnation.h>

#include <chrono>

namespace Chervilpin::Core {

Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace Chervilpin::Core
