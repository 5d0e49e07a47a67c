#include <StandIn/ControlEndpoint.h>

#include <Core/SteadyClock.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace Chervilpin::StandIn {

namespace {

/// Lets the answer to the command leave before the process stops working.
constexpr std::chrono::milliseconds answerHeadStart{10};

} // namespace

HttpResponse jsonResponse(unsigned status, const boost::json::object &json)
{
    return {status, boost::json::serialize(json), 0};
}

HttpResponse errorResponse(unsigned status, std::string_view message)
{
    boost::json::object json;
    json["error"] = message;
    return jsonResponse(status, json);
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

ControlEndpoint::ControlEndpoint(boost::asio::io_context &context, FaultBoard &faults,
                                 SecretWatch &secrets, FaultActions actions)
    : context_(context)
    , faults_(faults)
    , secrets_(secrets)
    , actions_(std::move(actions))
{ }

bool ControlEndpoint::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.method != "POST")
        return false;
    if (request.path == std::vector<std::string>{"faults"}) {
        takeFault(*exchange);
        return true;
    }
    if (request.path == std::vector<std::string>{"audit", "secrets"}) {
        takeSecret(*exchange);
        return true;
    }
    return false;
}

void ControlEndpoint::takeFault(HttpExchange &exchange)
{
    const auto command = FaultCommand::create(exchange.request().body);
    if (!command)
        return exchange.answer(errorResponse(400, command.error().message));
    carryOut(*command, exchange);
    exchange.answer({});
}

void ControlEndpoint::carryOut(const FaultCommand &command, const HttpExchange &exchange)
{
    switch (command.kind) {
    case FaultKind::Pause: {
        // Blocking the only thread is what a stopped process does to its callers.
        const std::chrono::milliseconds length(command.amount->milliseconds());
        return soon([length] { std::this_thread::sleep_for(length); });
    }
    case FaultKind::Crash:
        return soon([] { std::abort(); });
    case FaultKind::SilenceConnections:
        return actions_.silenceConnections(exchange);
    case FaultKind::Wipe:
        return actions_.wipe();
    default:
        faults_.apply(command, Core::SteadyClock::now());
        return actions_.changed();
    }
}

void ControlEndpoint::soon(std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, answerHeadStart);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

void ControlEndpoint::takeSecret(HttpExchange &exchange)
{
    boost::system::error_code error;
    const auto json = boost::json::parse(exchange.request().body, error);
    const auto *secret =
        !error && json.is_object() ? json.get_object().if_contains("secret") : nullptr;
    if (!secret || !secret->is_string() || secret->get_string().empty())
        return exchange.answer(errorResponse(400, "secret: a text is needed"));
    secrets_.registerSecret(std::string(secret->get_string()));
    exchange.answer({});
}

} // namespace Chervilpin::StandIn
