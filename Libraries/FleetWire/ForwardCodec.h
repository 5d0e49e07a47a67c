#pragma once

#include <Core/Result.h>
#include <Sessions/Actions.h>
#include <Sessions/Forwarding.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Encodes the frames on the links over which proxies forward statements (forward.proto).
namespace Chervilpin::FleetWire {

struct StatementFrame
{
    Sessions::ConnectionId channel = 0;
    Sessions::ForwardedStatement statement;
};

struct ReplyFrame
{
    Sessions::ConnectionId channel = 0;
    Sessions::ForwardedReply answer;
};

/// Sent when the sender abandons the channel.
struct CloseFrame
{
    Sessions::ConnectionId channel = 0;
};

/// Checks whether the link is alive; answered with a PongFrame of the same number.
struct PingFrame
{
    std::uint64_t number = 0;
};

struct PongFrame
{
    std::uint64_t number = 0;
};

using Frame = std::variant<StatementFrame, ReplyFrame, CloseFrame, PingFrame, PongFrame>;

[[nodiscard]] std::string encode(const StatementFrame &);
[[nodiscard]] std::string encode(const ReplyFrame &);
[[nodiscard]] std::string encode(const CloseFrame &);
[[nodiscard]] std::string encode(const PingFrame &);
[[nodiscard]] std::string encode(const PongFrame &);
/// Fails with InvalidArgument if the content is not a valid frame of a known type, if a statement
/// lacks its group, database or kind, or if a reply has an unknown failure code.
[[nodiscard]] Core::ErrorOr<Frame> decodeFrame(std::string_view content);

} // namespace Chervilpin::FleetWire
