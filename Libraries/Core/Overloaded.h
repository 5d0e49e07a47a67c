#pragma once

namespace Chervilpin::Core {

/// Joins lambdas into one function object, to visit a variant with.
template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace Chervilpin::Core
