#include <StandIn/AuditTrail.h>

#include <array>
#include <boost/json/object.hpp>
#include <functional>
#include <utility>

namespace Chervilpin::StandIn {

namespace {

constexpr std::size_t maximumEntries = 1'000'000;

constexpr std::array<std::string_view, 5> kindNames{"read", "write", "begin", "commit", "rollback"};
constexpr std::array<std::string_view, 3> verdictNames{"done", "not_run", "failed"};
constexpr std::array<std::string_view, 7> reasonNames{
    "none", "superseded", "not_primary", "behind", "no_transaction", "bad_statement", "overloaded",
};

template<typename Names, typename Value>
std::string_view nameIn(const Names &names, Value value)
{
    return names.at(static_cast<std::size_t>(value));
}

boost::json::object jsonOf(const AuditEntry &entry)
{
    boost::json::object json;
    json["number"] = entry.number;
    json["connection"] = entry.connection;
    json["proxy"] = entry.proxy;
    json["transaction"] = entry.transaction;
    json["open_transaction"] = entry.openTransaction;
    json["kind"] = nameIn(kindNames, entry.kind);
    json["statement_term"] = entry.statementTerm;
    json["term"] = entry.held.term;
    json["position"] = entry.held.position;
    json["verdict"] = nameIn(verdictNames, entry.verdict);
    json["reason"] = nameIn(reasonNames, entry.reason);
    json["unix_us"] = entry.unixMicroseconds;
    json["traceparent"] = entry.traceparent;
    json["text_hash"] = std::to_string(std::hash<std::string>()(entry.text));
    json["text"] = entry.text;
    json["key_seen"] = entry.keySeen;
    return json;
}

} // namespace

void AuditTrail::record(AuditEntry entry)
{
    entry.number = ++lastNumber_;
    entries_.push_back(std::move(entry));
    if (entries_.size() > maximumEntries)
        entries_.pop_front();
}

boost::json::array AuditTrail::toJson(std::uint64_t since) const
{
    boost::json::array entries;
    const auto dropped = lastNumber_ - entries_.size();
    const auto skipped = since > dropped ? since - dropped : 0;
    for (auto index = skipped; index < entries_.size(); ++index)
        entries.push_back(jsonOf(entries_[index]));
    return entries;
}

} // namespace Chervilpin::StandIn
