#pragma once

#include <string_view>

namespace Chervilpin::Core {

/// What is known of a statement once its caller is answered.
enum class Outcome {
    Done,    ///< It ran, and its effect is kept.
    NotRun,  ///< It is proved that it did not run and never will.
    Unknown, ///< It may have run.
};

/// The name of an outcome in answers and logs: `done`, `not_run` or `unknown`.
[[nodiscard]] std::string_view toString(Outcome);

} // namespace Chervilpin::Core
