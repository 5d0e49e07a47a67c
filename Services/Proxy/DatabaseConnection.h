#pragma once

#include <Core/Name.h>
#include <Upstream/Messages.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Chervilpin::Proxy {

/// Why a database connection is of no use any more.
enum class ConnectionEnd {
    Refused, ///< It never opened: nothing listens there, or the database refused it.
    Broken,  ///< It was open and ended.
};

/// One connection to one upstream database: a gRPC stream on a TCP connection of its own.
///
/// All events arrive on the Asio context that was given; none arrives after close().
class DatabaseConnection
{
public:
    struct Events
    {
        /// The database's greeting came; the connection can be used.
        std::function<void()> opened;
        std::function<void(Upstream::CorrelationId, Upstream::Answer)> answered;
        std::function<void(ConnectionEnd, std::string message)> ended;
    };

    /// Who this proxy is towards databases.
    struct Identity
    {
        Core::NodeName node;
        Core::DataCentreName dataCentre;
        Core::GroupName group;
    };

    DatabaseConnection(boost::asio::io_context &, const std::string &address, const Identity &,
                       Events);
    ~DatabaseConnection();
    DatabaseConnection(const DatabaseConnection &) = delete;
    DatabaseConnection &operator=(const DatabaseConnection &) = delete;
    DatabaseConnection(DatabaseConnection &&) = delete;
    DatabaseConnection &operator=(DatabaseConnection &&) = delete;

    void send(Upstream::CorrelationId, const Upstream::RequestBody &);
    /// Ends the stream at once.
    void close();

private:
    class Stream;
    Stream *stream_; ///< Deletes itself once gRPC is done with it.
};

} // namespace Chervilpin::Proxy
