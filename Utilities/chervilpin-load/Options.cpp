#include <Utilities/chervilpin-load/Options.h>

#include <array>
#include <charconv>

namespace Chervilpin::Load {

namespace {

Core::ErrorOr<double> readNumber(std::string_view text)
{
    double value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size() || value < 0)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "'" + std::string(text) + "' is not a number");
    return value;
}

} // namespace

Core::ErrorOr<TeamOptions> TeamOptions::create(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto comma = text.find(',');
        parts.push_back(text.substr(0, comma));
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix(comma + 1);
    }
    constexpr std::size_t partCount = 5;
    if (parts.size() != partCount)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "a team is written as name,key,offered,rate,burst");
    TeamOptions team;
    team.name = std::string(parts[0]);
    team.key = std::string(parts[1]);
    team.offeredPerSecond = TRY(readNumber(parts[2]));
    team.ratePerSecond = TRY(readNumber(parts[3]));
    team.burst = TRY(readNumber(parts[4]));
    return team;
}

} // namespace Chervilpin::Load
