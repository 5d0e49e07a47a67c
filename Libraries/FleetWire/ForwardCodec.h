#pragma once

#include <Core/Result.h>
#include <Sessions/Actions.h>
#include <Sessions/Forwarding.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Frames on the links between proxies that forward statements (forward.proto).
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

struct CloseFrame
{
    Sessions::ConnectionId channel = 0;
};

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
/// Fails with InvalidArgument on anything that encode() can't have made.
[[nodiscard]] Core::ErrorOr<Frame> decodeFrame(std::string_view content);

} // namespace Chervilpin::FleetWire
