#include "ControlService.h"

#include <StandIn/LogEntryJson.h>

#include <array>
#include <boost/json/array.hpp>
#include <utility>

namespace Chervilpin::UpstreamStandIn {

using StandIn::HttpRequest;
using StandIn::HttpResponse;
using StandIn::jsonResponse;
using StandIn::numberOf;

namespace {

boost::json::object statusOf(Database &database)
{
    const auto status = database.state().status();
    boost::json::object json;
    json["database"] = database.options().name;
    json["group"] = database.options().group;
    json["known_term"] = status.knownTerm;
    json["term"] = status.held.term;
    json["position"] = status.held.position;
    json["role"] = status.role == Upstream::Role::Primary ? "primary" : "replica";
    json["primary"] = status.primary.value();
    return json;
}

} // namespace

ControlService::ControlService(Database &database)
    : database_(database)
    , control_(database.context(), database.faults(), database.secrets(),
               {[this](const auto &) { database_.silenceConnections(); },
                [this] { database_.wipe(); },
                [this] {
                    database_.faultsChanged();
                }})
{ }

Core::ErrorOr<std::unique_ptr<ControlService>> ControlService::create(Database &database)
{
    std::unique_ptr<ControlService> service(new ControlService(database));
    service->server_ = TRY(StandIn::HttpServer::create(
        database.context(), database.options().controlAddress,
        [raw = service.get()](const auto &exchange) { raw->handle(exchange); }));
    return service;
}

void ControlService::handle(const std::shared_ptr<StandIn::HttpExchange> &exchange)
{
    if (control_.handle(exchange))
        return;
    using Handler = HttpResponse (ControlService::*)(const HttpRequest &) const;
    struct Page
    {
        std::string_view path;
        Handler handler;
    };
    static constexpr std::array pages{
        Page{"audit", &ControlService::audit},
        Page{"log", &ControlService::log},
        Page{"health", &ControlService::health},
    };
    const auto &request = exchange->request();
    for (const auto &page : pages) {
        if (request.method == "GET" && request.path.size() == 1 && request.path[0] == page.path)
            return exchange->answer((this->*page.handler)(request));
    }
    exchange->answer(StandIn::errorResponse(404, "no such path"));
}

HttpResponse ControlService::audit(const HttpRequest &request) const
{
    auto json = statusOf(database_);
    json["next"] = database_.trail().lastNumber();
    json["entries"] = database_.trail().toJson(numberOf(request.parameter("since")).value_or(0));
    json["key_seen"] = database_.secrets().toJson();
    return jsonResponse(200, json);
}

HttpResponse ControlService::log(const HttpRequest &request) const
{
    const auto since = numberOf(request.parameter("since")).value_or(0);
    boost::json::array entries;
    for (const auto &entry : database_.state().log()) {
        if (entry.mark.position > since)
            entries.push_back(StandIn::toJson(entry));
    }
    auto json = statusOf(database_);
    json["entries"] = std::move(entries);
    return jsonResponse(200, json);
}

HttpResponse ControlService::health(const HttpRequest &) const
{
    auto json = statusOf(database_);
    json["status"] = "ok";
    json["connections"] = database_.connectionCount();
    json["queued"] = database_.slots().waiting();
    return jsonResponse(200, json);
}

} // namespace Chervilpin::UpstreamStandIn
