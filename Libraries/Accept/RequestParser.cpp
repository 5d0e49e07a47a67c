#include <Accept/RequestParser.h>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <optional>

namespace Chervilpin::Accept {

namespace {

namespace json = boost::json;
using namespace Core::Literals;
using Core::ErrorCode;
using Core::ErrorOr;
using Core::failure;
using Engine::CallerRequest;

constexpr std::size_t maximumDepth = 4;
constexpr std::size_t maximumStatementBytes = std::size_t{128} * 1024;
constexpr std::size_t maximumNameBytes = 253;
constexpr Core::Duration defaultDeadline = 10_s;
constexpr Core::Duration maximumDeadline = 300_s;
constexpr Core::Duration maximumStatedAge = 86'400_s;
constexpr std::string_view bearerPrefix = "Bearer ";

template<typename Value>
struct NamedValue
{
    std::string_view name;
    Value value;
};

constexpr std::array<NamedValue<Engine::RequestKind>, 5> kinds{{
    {"read", Engine::RequestKind::Read},
    {"write", Engine::RequestKind::Write},
    {"begin", Engine::RequestKind::Begin},
    {"commit", Engine::RequestKind::Commit},
    {"rollback", Engine::RequestKind::Rollback},
}};

constexpr std::array<NamedValue<Engine::Freshness>, 3> freshnesses{{
    {"session", Engine::Freshness::Session},
    {"stated_age", Engine::Freshness::StatedAge},
    {"strong", Engine::Freshness::Strong},
}};

tl::unexpected<Core::Error> invalid(std::string_view field, std::string_view problem)
{
    return failure(ErrorCode::InvalidArgument,
                   "field '" + std::string(field) + "' " + std::string(problem));
}

ErrorOr<std::string> readText(std::string_view field, const json::value &value,
                              std::size_t maximumBytes)
{
    const auto *text = value.if_string();
    if (!text)
        return invalid(field, "must be a string");
    if (text->size() > maximumBytes)
        return invalid(field, "is longer than " + std::to_string(maximumBytes) + " bytes");
    return std::string(text->data(), text->size());
}

template<typename Value, std::size_t Count>
ErrorOr<Value> readNamed(std::string_view field, const json::value &value,
                         const std::array<NamedValue<Value>, Count> &names)
{
    const std::string text = TRY(readText(field, value, maximumNameBytes));
    const auto found = std::ranges::find(names, text, &NamedValue<Value>::name);
    if (found != names.end())
        return found->value;
    std::string allowed;
    for (const auto &name : names)
        allowed += (allowed.empty() ? "" : ", ") + std::string(name.name);
    return invalid(field, "must be one of " + allowed);
}

using FieldOutcome = ErrorOr<std::monostate>;
using FieldReader = FieldOutcome (*)(const json::value &, CallerRequest &);

FieldOutcome readRoute(const json::value &value, CallerRequest &request)
{
    request.route = TRY(readText("route", value, maximumNameBytes));
    return std::monostate();
}

FieldOutcome readKind(const json::value &value, CallerRequest &request)
{
    request.kind = TRY(readNamed("kind", value, kinds));
    return std::monostate();
}

FieldOutcome readStatement(const json::value &value, CallerRequest &request)
{
    request.statement = TRY(readText("statement", value, maximumStatementBytes));
    return std::monostate();
}

FieldOutcome readFreshness(const json::value &value, CallerRequest &request)
{
    request.freshness = TRY(readNamed("freshness", value, freshnesses));
    return std::monostate();
}

FieldOutcome readMaximumAge(const json::value &value, CallerRequest &request)
{
    if (!value.is_int64() || value.as_int64() < 0
        || value.as_int64() > maximumStatedAge.milliseconds())
        return invalid("max_age_ms", "must be a whole number from 0 to 86400000");
    request.maximumAge = Core::Duration(value.as_int64());
    return std::monostate();
}

FieldOutcome readIdempotent(const json::value &value, CallerRequest &request)
{
    if (!value.is_bool())
        return invalid("idempotent", "must be true or false");
    request.repeatability =
        value.as_bool() ? Engine::Repeatability::Idempotent : Engine::Repeatability::NotRepeatable;
    return std::monostate();
}

FieldOutcome readTransaction(const json::value &value, CallerRequest &request)
{
    request.transaction = TRY(readText("transaction", value, maximumNameBytes));
    return std::monostate();
}

struct FieldRule
{
    std::string_view name;
    FieldReader read;
};

constexpr std::array<FieldRule, 7> fieldRules{{
    {"route", readRoute},
    {"kind", readKind},
    {"statement", readStatement},
    {"freshness", readFreshness},
    {"max_age_ms", readMaximumAge},
    {"idempotent", readIdempotent},
    {"transaction", readTransaction},
}};

ErrorOr<json::object> parseBody(std::string_view body)
{
    json::parse_options options;
    options.max_depth = maximumDepth;
    boost::system::error_code error;
    json::value value =
        json::parse(json::string_view(body.data(), body.size()), error, {}, options);
    if (error)
        return failure(ErrorCode::InvalidArgument,
                       "the body is not valid JSON: " + error.message());
    if (!value.is_object())
        return failure(ErrorCode::InvalidArgument, "the body must be a JSON object");
    return std::move(value.as_object());
}

FieldOutcome readFields(const json::object &body, CallerRequest &request)
{
    for (const auto &member : body) {
        const std::string_view name(member.key().data(), member.key().size());
        const auto rule = std::ranges::find(fieldRules, name, &FieldRule::name);
        if (rule == fieldRules.end())
            return invalid(name.substr(0, maximumNameBytes), "is not known");
        TRY(rule->read(member.value(), request));
    }
    return std::monostate();
}

FieldOutcome checkWhole(const json::object &body, const CallerRequest &request)
{
    using Engine::RequestKind;
    if (request.route.empty())
        return invalid("route", "is missing");
    if (!body.contains("kind"))
        return invalid("kind", "is missing");
    const bool runsText = request.kind == RequestKind::Read || request.kind == RequestKind::Write;
    if (runsText && request.statement.empty())
        return invalid("statement", "is missing");
    if (!runsText && !request.statement.empty())
        return invalid("statement", "is only for reads and writes");
    const bool endsTransaction =
        request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback;
    if (endsTransaction && request.transaction.empty())
        return invalid("transaction", "is missing");
    if (request.kind == RequestKind::Begin && !request.transaction.empty())
        return invalid("transaction", "is named by the answer to begin");
    const bool needsAge = request.freshness == Engine::Freshness::StatedAge;
    if (needsAge != body.contains("max_age_ms"))
        return invalid("max_age_ms", "goes with freshness stated_age, and only with it");
    return std::monostate();
}

FieldOutcome readHeaders(const RequestText &text, CallerRequest &request)
{
    if (!text.authorization.empty()) {
        if (!text.authorization.starts_with(bearerPrefix))
            return failure(ErrorCode::InvalidArgument,
                           "header 'Authorization' must be of the form 'Bearer <key>'");
        request.key = std::string(text.authorization.substr(bearerPrefix.size()));
    }
    request.sessionToken = std::string(text.session);
    request.traceparent = std::string(text.traceparent);
    request.deadline = defaultDeadline;
    if (text.deadline.empty())
        return std::monostate();
    std::int64_t milliseconds = 0;
    const char *end = text.deadline.data() + text.deadline.size();
    const auto [stop, problem] = std::from_chars(text.deadline.data(), end, milliseconds);
    const bool isNumber = problem == std::errc() && stop == end;
    if (!isNumber || milliseconds < 1 || milliseconds > maximumDeadline.milliseconds())
        return failure(ErrorCode::InvalidArgument,
                       "header 'Chervilpin-Deadline-Ms' must be a whole number from 1 to 300000");
    request.deadline = Core::Duration(milliseconds);
    return std::monostate();
}

bool isJson(std::string_view contentType)
{
    return contentType == "application/json" || contentType.starts_with("application/json;");
}

} // namespace

ErrorOr<CallerRequest> parseRequest(const RequestText &text)
{
    if (!isJson(text.contentType))
        return failure(ErrorCode::InvalidArgument,
                       "header 'Content-Type' must be application/json");
    const json::object body = TRY(parseBody(text.body));
    CallerRequest request;
    TRY(readFields(body, request));
    TRY(checkWhole(body, request));
    TRY(readHeaders(text, request));
    return request;
}

} // namespace Chervilpin::Accept
