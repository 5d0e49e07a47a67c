#pragma once

#include <Engine/Actions.h>

#include <string>
#include <utility>
#include <vector>

namespace Chervilpin::Engine {

/// Collects the engine's actions in order until the shell takes them.
class Outbox
{
public:
    void push(Action action) { actions_.push_back(std::move(action)); }

    void log(EventLevel level, std::string name, std::vector<EventField> fields = {})
    {
        push(LogEvent{level, std::move(name), std::move(fields)});
    }

    void count(std::string name, std::string labels = "")
    {
        push(Count{std::move(name), std::move(labels)});
    }

    [[nodiscard]] std::vector<Action> take() { return std::exchange(actions_, {}); }

private:
    std::vector<Action> actions_;
};

} // namespace Chervilpin::Engine
