#pragma once

#include <StandIn/FaultBoard.h>
#include <StandIn/HttpServer.h>
#include <StandIn/SecretWatch.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>

namespace Chervilpin::StandIn {

/// An answer with a JSON object.
[[nodiscard]] HttpResponse jsonResponse(unsigned status, const boost::json::object &);
/// An answer `{"error": "..."}`.
[[nodiscard]] HttpResponse errorResponse(unsigned status, std::string_view message);
/// A number in a query parameter or header; nothing if it is absent or isn't a number.
[[nodiscard]] std::optional<std::uint64_t> numberOf(std::string_view text);

/// What a stand-in does itself when a fault command comes.
struct FaultActions
{
    std::function<void(const HttpExchange &)> silenceConnections;
    std::function<void()> wipe;
    std::function<void()> changed; ///< After any other change of the faults.
};

/// The paths that both stand-ins have for tests: /faults, /audit/secrets.
class ControlEndpoint
{
public:
    ControlEndpoint(boost::asio::io_context &, FaultBoard &, SecretWatch &, FaultActions);

    /// Answers if the path is one of the above; false if it isn't.
    bool handle(const std::shared_ptr<HttpExchange> &);

private:
    void takeFault(HttpExchange &);
    void takeSecret(HttpExchange &);
    void carryOut(const FaultCommand &, const HttpExchange &);
    void soon(std::function<void()>);

    boost::asio::io_context &context_;
    FaultBoard &faults_;
    SecretWatch &secrets_;
    FaultActions actions_;
};

} // namespace Chervilpin::StandIn
