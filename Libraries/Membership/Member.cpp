#include <Membership/Member.h>

namespace Chervilpin::Membership {

std::string_view toString(Health health)
{
    switch (health) {
    case Health::Live:
        return "live";
    case Health::Suspected:
        return "suspected";
    case Health::Unreachable:
        return "unreachable";
    case Health::Dead:
        return "dead";
    }
    return "dead";
}

} // namespace Chervilpin::Membership
