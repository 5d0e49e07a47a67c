#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

#include <cstdint>

namespace Chervilpin::Confirm {

/// Names a waiting answer; chosen by the engine, unique within a tracker.
using ConfirmationId = std::uint64_t;

enum class ConfirmationKind {
    Write,      ///< A write or commit that was answered Done.
    StrongRead, ///< A read that was answered Done and judged Confirm.
};

/// An answer of a database that waits for its proof.
struct Confirmable
{
    ConfirmationId id = 0;
    ConfirmationKind kind = ConfirmationKind::Write;
    Core::DatabaseName database; ///< Where it ran.
    Core::Term term = 0; ///< Write: the statement's. Read: of its sample (ReadDemand::term).
    Core::LogMark mark;  ///< `held` of the answer's status.
    Route::Stamp since;  ///< Write: when its answer came. Read: when it arrived.
    Core::Instant deadline;
};

} // namespace Chervilpin::Confirm
