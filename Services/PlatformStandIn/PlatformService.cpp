#include "PlatformService.h"

#include "ObjectJson.h"

#include <Core/SteadyClock.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <chrono>
#include <utility>

namespace Chervilpin::PlatformStandIn {

using StandIn::errorResponse;
using StandIn::HttpRequest;
using StandIn::HttpResponse;
using StandIn::jsonResponse;
using StandIn::numberOf;

namespace {

constexpr std::uint64_t maximumWatchMilliseconds = 60'000;
constexpr std::size_t maximumCallRecords = 100'000;

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string join(const std::vector<std::string> &segments, std::size_t first)
{
    std::string path;
    for (auto index = first; index < segments.size(); ++index) {
        if (index > first)
            path += '/';
        path += segments[index];
    }
    return path;
}

std::string keyOf(const HttpRequest &request)
{
    return join(request.path, 1);
}

/// The name in `/vms/<name>`; empty if the path is another.
std::string vmNameOf(const HttpRequest &request)
{
    return request.path.size() == 2 ? request.path[1] : std::string();
}

} // namespace

PlatformService::PlatformService(boost::asio::io_context &context, const Settings &settings)
    : context_(context)
    , settings_(settings)
    , store_(settings.journalPath.empty() ? StandIn::ObjectStore::Journal::Off
                                          : StandIn::ObjectStore::Journal::On)
    , vms_(settings.vmListLag)
    , control_(context, faults_, secrets_,
               {[this](const auto &exchange) { server_->silenceOthers(exchange); },
                [this] {
                    store_.wipe();
                    storeChanged();
                },
                [] {
                }})
{ }

Core::ErrorOr<std::unique_ptr<PlatformService>>
PlatformService::create(boost::asio::io_context &context, const Settings &settings)
{
    std::unique_ptr<PlatformService> service(new PlatformService(context, settings));
    if (const auto opened = service->openJournal(); !opened)
        return tl::unexpected(opened.error());
    service->server_ = TRY(StandIn::HttpServer::create(
        context, settings.listenAddress,
        [raw = service.get()](const Exchange &exchange) { raw->handle(exchange); }));
    return service;
}

Core::ErrorOr<void> PlatformService::openJournal()
{
    if (settings_.journalPath.empty())
        return {};
    journal_.emplace(TRY(StandIn::LineFile::create(settings_.journalPath)));
    for (const auto &line : journal_->lines())
        store_.restore(TRY(changeFromLine(line)));
    return {};
}

void PlatformService::storeChanged()
{
    if (journal_) {
        for (const auto &change : store_.takeJournal())
            journal_->append(toLine(change));
    }
    wakeWatches();
}

void PlatformService::handle(const Exchange &exchange)
{
    if (control_.handle(exchange) || answerControl(exchange))
        return;
    const auto &request = exchange->request();
    record(request);
    const auto now = Core::SteadyClock::now();
    if (faults_.isCut(Core::DataCentreName(request.dataCentre), now))
        return exchange->goSilent();
    if (faults_.isRefusing(now))
        return exchange->answer(errorResponse(503, "refused; nothing was changed"));
    if (request.method == "GET" && request.path == std::vector<std::string>{"watch"})
        return watch(exchange);
    answerCall(exchange);
}

bool PlatformService::answerControl(const Exchange &exchange)
{
    const auto &request = exchange->request();
    if (request.method != "GET" || request.path.size() != 1)
        return false;
    if (request.path[0] == "audit") {
        exchange->answer(audit(request));
        return true;
    }
    if (request.path[0] != "health")
        return false;
    boost::json::object json;
    json["status"] = "ok";
    json["calls"] = callCount_;
    json["watches"] = watches_.size();
    json["revision"] = store_.revision();
    exchange->answer(jsonResponse(200, json));
    return true;
}

void PlatformService::answerCall(const Exchange &exchange)
{
    using Handler = HttpResponse (PlatformService::*)(const HttpRequest &);
    struct Operation
    {
        std::string_view method;
        std::string_view area;
        Handler handler;
    };
    static constexpr std::array operations{
        Operation{"GET", "objects", &PlatformService::get},
        Operation{"PUT", "objects", &PlatformService::put},
        Operation{"DELETE", "objects", &PlatformService::erase},
        Operation{"GET", "list", &PlatformService::list},
        Operation{"GET", "vms", &PlatformService::listVms},
        Operation{"PUT", "vms", &PlatformService::putVm},
        Operation{"DELETE", "vms", &PlatformService::eraseVm},
    };
    const auto &request = exchange->request();
    const auto area = request.path.empty() ? std::string() : request.path[0];
    auto isKnownArea = false;
    for (const auto &operation : operations) {
        if (operation.area != area)
            continue;
        isKnownArea = true;
        if (operation.method == request.method)
            return answer(exchange, (this->*operation.handler)(request));
    }
    if (isKnownArea)
        return answer(exchange, errorResponse(405, "no such method here"));
    answer(exchange, errorResponse(404, "no such path"));
}

HttpResponse PlatformService::get(const HttpRequest &request)
{
    const auto revisionsBack = faults_.revisionsBack(Core::SteadyClock::now());
    const auto object = store_.get(keyOf(request), revisionsBack);
    if (object.version == 0)
        return errorResponse(404, "no such object");
    return jsonResponse(200, toJson(object));
}

HttpResponse
PlatformService::written(const Core::ErrorOr<StandIn::ObjectStore::Written> &result) const
{
    if (!result)
        return errorResponse(result.error().code == Core::ErrorCode::ResourceExhausted ? 413 : 400,
                             result.error().message);
    if (const auto *conflict = std::get_if<Platform::VersionConflict>(&*result))
        return jsonResponse(409, toJson(conflict->current));
    return jsonResponse(200, toJson(std::get<Platform::Object>(*result)));
}

HttpResponse PlatformService::put(const HttpRequest &request)
{
    const auto expected = numberOf(request.ifVersion);
    if (!expected)
        return errorResponse(400, "If-Version: a version is needed, 0 for a new object");
    if (!isUtf8(request.body))
        return errorResponse(400, "the value is not UTF-8");
    auto response = written(store_.put({keyOf(request), request.body, *expected}));
    storeChanged();
    return response;
}

HttpResponse PlatformService::erase(const HttpRequest &request)
{
    const auto expected = numberOf(request.ifVersion);
    if (!expected)
        return errorResponse(400, "If-Version: a version is needed");
    auto response = written(store_.erase({keyOf(request), *expected}));
    storeChanged();
    return response;
}

HttpResponse PlatformService::list(const HttpRequest &request)
{
    const auto revisionsBack = faults_.revisionsBack(Core::SteadyClock::now());
    return jsonResponse(200, toJson(store_.list(request.parameter("prefix"), revisionsBack)));
}

HttpResponse PlatformService::listVms(const HttpRequest &)
{
    return jsonResponse(200, toJson(vms_.list(Core::SteadyClock::now())));
}

HttpResponse PlatformService::putVm(const HttpRequest &request)
{
    const auto name = vmNameOf(request);
    if (name.empty())
        return errorResponse(400, "a VM needs a name");
    auto vm = vmFromJson(name, request.body);
    if (!vm)
        return errorResponse(400, vm.error().message);
    vms_.put(std::move(*vm), Core::SteadyClock::now());
    return {};
}

HttpResponse PlatformService::eraseVm(const HttpRequest &request)
{
    vms_.erase(Core::NodeName(vmNameOf(request)), Core::SteadyClock::now());
    return {};
}

HttpResponse PlatformService::audit(const HttpRequest &request) const
{
    const auto since = numberOf(request.parameter("since")).value_or(0);
    boost::json::array calls;
    for (const auto &call : calls_) {
        if (call.number <= since)
            continue;
        boost::json::object json;
        json["number"] = call.number;
        json["method"] = call.method;
        json["path"] = call.path;
        json["data_centre"] = call.dataCentre;
        json["unix_us"] = call.unixMicroseconds;
        calls.push_back(std::move(json));
    }
    boost::json::object json;
    json["next"] = callCount_;
    json["entries"] = std::move(calls);
    json["key_seen"] = secrets_.toJson();
    return jsonResponse(200, json);
}

void PlatformService::record(const HttpRequest &request)
{
    ++callCount_;
    calls_.push_back({callCount_, request.method, join(request.path, 0), request.dataCentre,
                      unixMicroseconds()});
    if (calls_.size() > maximumCallRecords)
        calls_.pop_front();
    secrets_.inspect(request.allHeaders, "headers", callCount_);
    secrets_.inspect(request.body, "body", callCount_);
}

void PlatformService::watch(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const auto since = numberOf(request.parameter("since"));
    const auto wait = numberOf(request.parameter("wait_ms"));
    if (!since || !wait || *wait > maximumWatchMilliseconds)
        return answer(exchange, errorResponse(400, "since and wait_ms (up to 60000) are needed"));
    watches_.push_back({exchange, request.parameter("prefix"), *since,
                        boost::asio::steady_timer(context_, std::chrono::milliseconds(*wait))});
    const auto watch = std::prev(watches_.end());
    if (!store_.changesSince(watch->prefix, watch->since).objects.empty())
        return endWatch(watch);
    watch->timer.async_wait([this, watch](boost::system::error_code error) {
        if (!error)
            endWatch(watch);
    });
}

void PlatformService::endWatch(std::list<Watch>::iterator watch)
{
    const auto exchange = watch->exchange;
    const auto changes = store_.changesSince(watch->prefix, watch->since);
    watches_.erase(watch);
    answer(exchange, jsonResponse(200, toJson(changes)));
}

void PlatformService::wakeWatches()
{
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        const auto current = watch++;
        if (!store_.changesSince(current->prefix, current->since).objects.empty())
            endWatch(current);
    }
}

void PlatformService::answer(const Exchange &exchange, HttpResponse response)
{
    const auto plan = faults_.planAnswer(Core::SteadyClock::now());
    if (plan.copies == 0)
        return exchange->goSilent();
    response.revision = store_.revision();
    const auto delay = plan.delay + settings_.delay;
    if (delay == Core::Duration())
        return exchange->answer(std::move(response));
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(delay.milliseconds()));
    timer->async_wait([timer, exchange, response = std::move(response)](auto error) {
        if (!error)
            exchange->answer(response);
    });
}

} // namespace Chervilpin::PlatformStandIn
