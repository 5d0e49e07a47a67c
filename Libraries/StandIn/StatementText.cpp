#include <StandIn/StatementText.h>

#include <array>
#include <charconv>
#include <optional>

namespace Chervilpin::StandIn {

namespace {

struct VerbName
{
    std::string_view name;
    Verb verb;
};

constexpr std::array verbNames{
    VerbName{"get", Verb::Get},
    VerbName{"put", Verb::Put},
    VerbName{"add", Verb::Add},
    VerbName{"append", Verb::Append},
};

std::optional<Verb> verbOf(std::string_view name)
{
    for (const auto &candidate : verbNames) {
        if (candidate.name == name)
            return candidate.verb;
    }
    return std::nullopt;
}

/// Cuts the text before the first space off \a text.
std::string_view takeWord(std::string_view &text)
{
    const auto end = text.find(' ');
    const auto word = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return word;
}

std::optional<std::int64_t> numberOf(std::string_view text)
{
    std::int64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

Core::ErrorOr<StatementText> StatementText::create(std::string_view text)
{
    const auto verb = verbOf(takeWord(text));
    const auto key = takeWord(text);
    if (!verb || key.empty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "not a known statement");
    StatementText statement{*verb, std::string(key), {}, 0};
    if (verb == Verb::Get && !text.empty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "get takes one key");
    if (verb == Verb::Add) {
        const auto amount = numberOf(text);
        if (!amount)
            return Core::failure(Core::ErrorCode::InvalidArgument, "add takes a whole number");
        statement.amount = *amount;
        return statement;
    }
    statement.value = text;
    return statement;
}

} // namespace Chervilpin::StandIn
