#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

#include <cstdint>

namespace Chervilpin::Confirm {

/// Identifies a waiting answer; assigned by the engine, unique within a tracker.
using ConfirmationId = std::uint64_t;

enum class ConfirmationKind {
    Write,      ///< A write or commit that was answered Done.
    StrongRead, ///< A read that was answered Done and judged Confirm by Route.
};

/// An answer of a database that is held back until it is confirmed.
struct Confirmable
{
    ConfirmationId id = 0;
    ConfirmationKind kind = ConfirmationKind::Write;
    Core::DatabaseName database; ///< The one that executed the statement.
    /// Write: the term of the statement. Read: the term of its sample (ReadDemand::term).
    Core::Term term = 0;
    Core::LogMark mark; ///< `held` of the answer's status.
    Route::Stamp since; ///< Write: when the answer arrived. Read: when the request arrived.
    Core::Instant deadline;
};

} // namespace Chervilpin::Confirm
