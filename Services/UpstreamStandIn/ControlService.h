#pragma once

#include "Database.h"

#include <StandIn/ControlEndpoint.h>
#include <StandIn/HttpServer.h>

#include <memory>

namespace Chervilpin::UpstreamStandIn {

/// The HTTP side of a database stand-in: faults, audit, log and health.
class ControlService
{
public:
    /// Fails if the control address can't be listened on.
    [[nodiscard]] static Core::ErrorOr<std::unique_ptr<ControlService>> create(Database &);

private:
    explicit ControlService(Database &);

    void handle(const std::shared_ptr<StandIn::HttpExchange> &);
    [[nodiscard]] StandIn::HttpResponse audit(const StandIn::HttpRequest &) const;
    [[nodiscard]] StandIn::HttpResponse log(const StandIn::HttpRequest &) const;
    [[nodiscard]] StandIn::HttpResponse health(const StandIn::HttpRequest &) const;

    Database &database_;
    StandIn::ControlEndpoint control_;
    std::unique_ptr<StandIn::HttpServer> server_;
};

} // namespace Chervilpin::UpstreamStandIn
