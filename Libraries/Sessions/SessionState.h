#pragma once

#include <Sessions/Statement.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Sessions {

using SessionValues = std::map<std::string, std::string, std::less<>>;

/// The text of a prepared statement with the access that it was prepared for.
struct PreparedShape
{
    Access access = Access::Read;
    std::string shape;

    auto operator<=>(const PreparedShape &) const = default;
};

/// The session values and prepared statements of a caller, independent of database connections.
class SessionState
{
public:
    void setValue(std::string_view name, std::string_view value)
    {
        values_[std::string(name)] = value;
    }
    void replaceValues(SessionValues values) { values_ = std::move(values); }
    void prepare(std::string_view name, PreparedShape shape)
    {
        prepared_[std::string(name)] = std::move(shape);
    }
    /// Returns false if no prepared statement has this name.
    bool deallocate(std::string_view name);

    [[nodiscard]] const PreparedShape *findPrepared(std::string_view name) const;
    [[nodiscard]] const SessionValues &values() const { return values_; }

private:
    SessionValues values_;
    std::map<std::string, PreparedShape, std::less<>> prepared_;
};

/// The session values and prepared statements that are set up on a database connection, which
/// serves many sessions one after the other.
///
/// Prepared statements are identified by shape, so that all sessions share them.
class ConnectionContext
{
public:
    /// The statements that set a session's values on the connection, and prepare \a shape on it if
    /// that isn't null; empty if nothing is missing. Assumes that the caller executes them.
    [[nodiscard]] std::vector<Statement> setUpFor(const SessionValues &,
                                                  const PreparedShape *shape);

    /// The name under which the shape is prepared on the connection; empty if it isn't.
    [[nodiscard]] std::string_view preparedNameOf(const PreparedShape &) const;

    [[nodiscard]] bool hasValues(const SessionValues &values) const { return values_ == values; }

private:
    SessionValues values_;
    std::map<PreparedShape, std::string> prepared_;
    unsigned nextName_ = 1;
};

} // namespace Chervilpin::Sessions
