#pragma once

#include <Engine/Engine.h>
#include <Tests/Engine/FakeDatabase.h>
#include <Tests/Engine/FakePlatform.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chervilpin::Testing {

/// One or two engines at fake time with the fakes of a platform and of three databases: a, the
/// first primary, b and c.
class Harness
{
public:
    static constexpr const char *key = "cvp_k1_northsecretnorthsecret";
    static constexpr const char *otherKey = "cvp_k2_southsecretsouthsecret";

    /// \a half is that of the nodes. The configuration is put through an operator's request.
    explicit Harness(std::string_view half = {}, std::size_t engines = 1);

    /// Steps of 10 ms.
    void run(Core::Duration);
    [[nodiscard]] bool runUntil(const std::function<bool()> &, Core::Duration atMost);

    /// Puts resources, as JSON texts with commas between them. True if they were accepted.
    bool change(const std::string &resources);
    bool withdrawKey();

    /// A request of the first team on route `r` with 2 s to live.
    [[nodiscard]] static Engine::CallerRequest request(Engine::RequestKind, std::string statement);
    Engine::RequestId ask(Engine::CallerRequest, std::size_t engine = 0);
    [[nodiscard]] const Engine::CallerAnswer *answer(Engine::RequestId) const;
    /// Asks and runs until the answer, at most 10 s; its outcome is Unknown with a message if none
    /// comes.
    Engine::CallerAnswer call(Engine::CallerRequest, std::size_t engine = 0);

    [[nodiscard]] FakeDatabase &database(std::string_view name);
    FakePlatform &platform() { return platform_; }
    void stallReplicas();
    void resumeReplicas();
    [[nodiscard]] std::size_t timesRun(std::string_view text) const;
    [[nodiscard]] std::size_t timesKept(std::string_view text) const;

    Engine::Engine &engine(std::size_t number = 0) { return *nodes_[number].engine; }

    Core::Instant now{100'000};
    bool isStopped = false;
    std::size_t answersGiven = 0;
    std::vector<std::string> statementsSent; ///< Texts, names of transactions and trace contexts.

private:
    struct Node
    {
        std::unique_ptr<Engine::Engine> engine;
        Engine::NodeSettings settings;
    };

    void addNode(std::size_t number, std::string_view half, std::size_t count);
    void step();
    void replicate();
    void answerPlatform();
    void answerDatabases();
    void perform(std::size_t node);
    void performOne(std::size_t node, Engine::Action);
    void later(Core::Duration, std::function<void()>);
    [[nodiscard]] static Engine::ConnectionId toFake(std::size_t node, Engine::ConnectionId);

    std::vector<Node> nodes_;
    FakePlatform platform_;
    std::map<std::string, FakeDatabase, std::less<>> databases_;
    std::map<Engine::ConnectionId, std::string> databaseOf_;
    std::multimap<Core::Instant, std::function<void()>> events_;
    std::map<Engine::RequestId, Engine::CallerAnswer> answers_;
    std::map<Engine::RequestId, unsigned> operatorAnswers_;
    Engine::RequestId lastId_ = 0;
};

} // namespace Chervilpin::Testing
