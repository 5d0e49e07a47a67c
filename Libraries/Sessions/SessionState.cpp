#include <Sessions/SessionState.h>

#include <algorithm>

namespace Chervilpin::Sessions {

bool SessionState::deallocate(std::string_view name)
{
    const auto found = prepared_.find(name);
    if (found == prepared_.end())
        return false;
    prepared_.erase(found);
    return true;
}

const PreparedShape *SessionState::findPrepared(std::string_view name) const
{
    const auto found = prepared_.find(name);
    return found == prepared_.end() ? nullptr : &found->second;
}

std::vector<Statement> ConnectionContext::setUpFor(const SessionValues &wanted,
                                                   const PreparedShape *shape)
{
    std::vector<Statement> statements;
    const bool hasUnwantedValue = std::ranges::any_of(
        values_, [&](const auto &value) { return !wanted.contains(value.first); });
    if (hasUnwantedValue) {
        statements.push_back({{}, StatementKind::Reset, {}, Access::Read, {}});
        values_.clear();
        prepared_.clear();
    }
    for (const auto &[name, value] : wanted) {
        const auto present = values_.find(name);
        if (present != values_.end() && present->second == value)
            continue;
        statements.push_back({{}, StatementKind::SetValue, name, Access::Read, value});
        values_[name] = value;
    }
    if (shape && !prepared_.contains(*shape)) {
        const std::string name = "p" + std::to_string(nextName_++);
        statements.push_back({{}, StatementKind::Prepare, name, shape->access, shape->shape});
        prepared_.emplace(*shape, name);
    }
    return statements;
}

std::string_view ConnectionContext::preparedNameOf(const PreparedShape &shape) const
{
    const auto found = prepared_.find(shape);
    return found == prepared_.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace Chervilpin::Sessions
