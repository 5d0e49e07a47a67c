#include <Services/Proxy/CallerApi.h>

#include <Accept/RequestParser.h>
#include <Answer/AnswerWriter.h>

namespace Chervilpin::Proxy {

namespace {

constexpr std::string_view statementsPath = "/v1/statements";
constexpr std::string_view operatorPrefix = "/v1/";
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusUnavailable = 503;

Http::Response refusal(unsigned status, std::string_view reason, std::string message)
{
    Engine::CallerAnswer answer;
    answer.reason = Engine::RefusalReason::BadRequest;
    answer.message = std::move(message);
    Http::Response response;
    response.status = status;
    response.body = Answer::writeAnswer(answer).body;
    response.fields.push_back({"Chervilpin-Reason", std::string(reason)});
    return response;
}

Accept::RequestText toText(const Http::Request &request)
{
    Accept::RequestText text;
    text.contentType = request.field("Content-Type");
    text.authorization = request.field("Authorization");
    text.session = request.field("Chervilpin-Session");
    text.deadline = request.field("Chervilpin-Deadline-Ms");
    text.traceparent = request.field("traceparent");
    text.body = request.body;
    return text;
}

void handleStatement(ActionRunner &runner, const Http::Request &request, Http::Responder responder)
{
    if (request.method != "POST") {
        responder(refusal(statusMethodNotAllowed, "method_not_allowed", "use POST"));
        return;
    }
    auto parsed = Accept::parseRequest(toText(request));
    if (!parsed) {
        constexpr unsigned statusBadRequest = 400;
        responder(refusal(statusBadRequest, "bad_request", parsed.error().message));
        return;
    }
    runner.callerRequest(std::move(*parsed), std::move(responder));
}

Http::Response plainText(unsigned status, std::string body)
{
    Http::Response response;
    response.status = status;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

} // namespace

void handleCaller(ActionRunner &runner, const Http::Request &request, Http::Responder responder)
{
    const std::string_view target = request.target;
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == statementsPath) {
        handleStatement(runner, request, std::move(responder));
        return;
    }
    if (!path.starts_with(operatorPrefix)) {
        responder(refusal(statusNotFound, "not_found", "no such path"));
        return;
    }
    Engine::OperatorRequest operatorRequest;
    operatorRequest.method = request.method;
    operatorRequest.target = request.target;
    operatorRequest.authorization = std::string(request.field("Authorization"));
    operatorRequest.body = request.body;
    runner.operatorRequest(std::move(operatorRequest), std::move(responder));
}

void handleAdmin(ActionRunner &runner, Observe::Metrics &metrics, const Http::Request &request,
                 const Http::Responder &responder)
{
    constexpr unsigned statusOk = 200;
    if (request.target == "/healthz") {
        responder(plainText(statusOk, "ok\n"));
    } else if (request.target == "/readyz") {
        const bool isReady = runner.isReady();
        responder(
            plainText(isReady ? statusOk : statusUnavailable, isReady ? "ready\n" : "not ready\n"));
    } else if (request.target == "/metrics") {
        runner.updateMetrics();
        responder(plainText(statusOk, metrics.text()));
    } else {
        responder(plainText(statusNotFound, "no such path\n"));
    }
}

} // namespace Chervilpin::Proxy
