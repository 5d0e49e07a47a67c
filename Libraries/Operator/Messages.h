#pragma once

#include <Configuration/Proposal.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What is said between operators and the proxy, free of any transport. docs/contracts/operators.md
/// has the paths, bodies and status codes.
namespace Chervilpin::Operator {

/// Names a request within one process.
using RequestId = std::uint64_t;

enum class Method {
    Get,
    Put,
    Post,
    Delete,
    Other,
};

struct OperatorRequest
{
    RequestId id = 0;
    Method method = Method::Get;
    std::string target;        ///< Path and query, such as `/v1/resources?kind=Team`.
    std::string authorization; ///< The header of that name, or empty.
    std::string body;
};

struct OperatorAnswer
{
    RequestId id = 0;
    unsigned status = 200; ///< HTTP status code.
    std::string body;      ///< JSON.
};

/// To be handed to Configuration::Manager::propose().
struct Propose
{
    Configuration::Proposal proposal;
};

using Action = std::variant<OperatorAnswer, Propose>;
using Actions = std::vector<Action>;

/// Something that the fleet reports about a resource.
struct Condition
{
    std::string type; ///< Such as `InForce`.
    bool isTrue = false;
    std::string reason;  ///< One word, such as `Lagging`.
    std::string message; ///< One sentence for people.
};

} // namespace Chervilpin::Operator
