#pragma once

#include <Http/Server.h>
#include <Observe/Metrics.h>
#include <Services/Proxy/ActionRunner.h>

namespace Chervilpin::Proxy {

/// Serves the paths of callers and operators: `/v1/statements` and the operators' `/v1/…`.
void handleCaller(ActionRunner &, const Http::Request &, Http::Responder);

/// Serves `/healthz`, `/readyz` and `/metrics`.
void handleAdmin(ActionRunner &, Observe::Metrics &, const Http::Request &,
                 const Http::Responder &);

} // namespace Chervilpin::Proxy
