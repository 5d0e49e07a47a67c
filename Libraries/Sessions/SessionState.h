#pragma once

#include <Sessions/Statement.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Sessions {

using SessionValues = std::map<std::string, std::string, std::less<>>;

/// The shape of a statement, which is the text given to Prepare, with its access mode.
struct PreparedShape
{
    Access access = Access::Read;
    std::string shape;

    auto operator<=>(const PreparedShape &) const = default;
};

/// The state that a caller set up in its session, independent of the connections that execute its
/// statements.
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
    /// Returns false if there is no prepared statement of this name.
    bool deallocate(std::string_view name);

    [[nodiscard]] const PreparedShape *findPrepared(std::string_view name) const;
    [[nodiscard]] const SessionValues &values() const { return values_; }

private:
    SessionValues values_;
    std::map<std::string, PreparedShape, std::less<>> prepared_;
};

/// The session state that is set up on a database connection, which serves many sessions in turn.
///
/// Prepared statements are named by shape, so that all sessions share them.
class ConnectionContext
{
public:
    /// Returns the statements that set a session's values on the connection, and prepare \a shape
    /// unless it is null. Empty if the connection is already set up. The context records them as
    /// executed.
    [[nodiscard]] std::vector<Statement> setUpFor(const SessionValues &,
                                                  const PreparedShape *shape);

    /// Returns the name under which the shape is prepared on this connection, or an empty string.
    [[nodiscard]] std::string_view preparedNameOf(const PreparedShape &) const;

    [[nodiscard]] bool hasValues(const SessionValues &values) const { return values_ == values; }

private:
    SessionValues values_;
    std::map<PreparedShape, std::string> prepared_;
    unsigned nextName_ = 1;
};

} // namespace Chervilpin::Sessions
