#pragma once

#include <Core/Milliseconds.h>
#include <StandIn/ControlEndpoint.h>
#include <StandIn/FaultBoard.h>
#include <StandIn/HttpServer.h>
#include <StandIn/LineFile.h>
#include <StandIn/ObjectStore.h>
#include <StandIn/SecretWatch.h>
#include <StandIn/VmList.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace Chervilpin::PlatformStandIn {

/// The platform's object service over HTTP; docs/contracts/platform.md has the paths.
class PlatformService
{
public:
    struct Settings
    {
        std::string listenAddress;
        Core::Duration delay; ///< Every answer takes at least this long.
        Core::Duration vmListLag;
        std::string journalPath; ///< Empty: a restart loses all objects.
    };

    [[nodiscard]] static Core::ErrorOr<std::unique_ptr<PlatformService>>
    create(boost::asio::io_context &, const Settings &);

    [[nodiscard]] std::uint16_t port() const { return server_->port(); }

private:
    using Exchange = std::shared_ptr<StandIn::HttpExchange>;

    struct Watch
    {
        Exchange exchange;
        std::string prefix;
        Platform::StoreRevision since = 0;
        boost::asio::steady_timer timer;
    };
    struct CallRecord
    {
        std::uint64_t number = 0;
        std::string method;
        std::string path;
        std::string dataCentre;
        std::int64_t unixMicroseconds = 0;
    };

    PlatformService(boost::asio::io_context &, const Settings &);
    [[nodiscard]] Core::ErrorOr<void> openJournal();
    /// To be called after each change of the store, before anything is said of it.
    void storeChanged();

    void handle(const Exchange &);
    bool answerControl(const Exchange &);
    void answerCall(const Exchange &);
    [[nodiscard]] StandIn::HttpResponse get(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse put(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse erase(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse list(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse listVms(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse putVm(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse eraseVm(const StandIn::HttpRequest &);
    [[nodiscard]] StandIn::HttpResponse audit(const StandIn::HttpRequest &) const;
    [[nodiscard]] StandIn::HttpResponse
    written(const Core::ErrorOr<StandIn::ObjectStore::Written> &) const;

    void watch(const Exchange &);
    void endWatch(std::list<Watch>::iterator);
    void wakeWatches();
    void record(const StandIn::HttpRequest &);
    void answer(const Exchange &, StandIn::HttpResponse);

    boost::asio::io_context &context_;
    Settings settings_;
    std::optional<StandIn::LineFile> journal_;
    StandIn::ObjectStore store_;
    StandIn::VmList vms_;
    StandIn::FaultBoard faults_;
    StandIn::SecretWatch secrets_;
    StandIn::ControlEndpoint control_;
    std::unique_ptr<StandIn::HttpServer> server_;
    std::list<Watch> watches_;
    std::deque<CallRecord> calls_;
    std::uint64_t callCount_ = 0;
};

} // namespace Chervilpin::PlatformStandIn
