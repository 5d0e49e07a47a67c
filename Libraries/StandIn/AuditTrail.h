#pragma once

#include <Upstream/Messages.h>

#include <boost/json/array.hpp>
#include <cstdint>
#include <deque>
#include <string>

namespace Chervilpin::StandIn {

/// One executed or refused statement.
struct AuditEntry
{
    std::uint64_t number = 0; ///< Set by the trail; numbered from 1.
    std::uint64_t connection = 0;
    std::string proxy;
    std::string transaction;     ///< As named by the statement.
    std::string openTransaction; ///< Open on the connection when the statement came.
    Upstream::StatementKind kind = Upstream::StatementKind::Read;
    Core::Term statementTerm = 0; ///< The term that the statement carried.
    Core::LogMark held;           ///< The mark held right after it.
    Upstream::Verdict verdict = Upstream::Verdict::Done;
    Upstream::Reason reason = Upstream::Reason::None;
    std::int64_t unixMicroseconds = 0;
    std::string traceparent;
    std::string text;
    bool keySeen = false; ///< The frame that brought it contained a registered secret.
};

/// The statements that a stand-in remembers for checks from outside, oldest dropped first.
class AuditTrail
{
public:
    void record(AuditEntry);
    [[nodiscard]] std::uint64_t lastNumber() const { return lastNumber_; }
    /// The entries with a number above \a since.
    [[nodiscard]] boost::json::array toJson(std::uint64_t since) const;

private:
    std::deque<AuditEntry> entries_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace Chervilpin::StandIn
