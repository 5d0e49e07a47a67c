#include <StandIn/FaultBoard.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace Chervilpin::StandIn {

namespace {

struct FaultName
{
    std::string_view name;
    FaultKind kind;
};

constexpr std::array faultNames{
    FaultName{"pause", FaultKind::Pause},
    FaultName{"delay", FaultKind::Delay},
    FaultName{"refuse", FaultKind::Refuse},
    FaultName{"drop_answers", FaultKind::DropAnswers},
    FaultName{"cut", FaultKind::Cut},
    FaultName{"silence_connections", FaultKind::SilenceConnections},
    FaultName{"crash", FaultKind::Crash},
    FaultName{"lag", FaultKind::Lag},
    FaultName{"late_answers", FaultKind::LateAnswers},
    FaultName{"duplicate_answers", FaultKind::DuplicateAnswers},
    FaultName{"reorder_answers", FaultKind::ReorderAnswers},
    FaultName{"older_version", FaultKind::OlderVersion},
    FaultName{"wipe", FaultKind::Wipe},
    FaultName{"heal", FaultKind::Heal},
};

Core::ErrorOr<FaultKind> kindOf(std::string_view name)
{
    for (const auto &candidate : faultNames) {
        if (candidate.name == name)
            return candidate.kind;
    }
    return Core::failure(Core::ErrorCode::InvalidArgument,
                         "fault: unknown name " + std::string(name));
}

Core::ErrorOr<std::optional<std::uint64_t>> numberIn(const boost::json::object &json,
                                                     std::string_view field)
{
    const auto *value = json.if_contains(field);
    if (!value)
        return std::optional<std::uint64_t>();
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    constexpr std::uint64_t maximum = 1'000'000'000;
    if (error || number > maximum)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             std::string(field) + ": not a whole number up to 1000000000");
    return std::optional(number);
}

Core::ErrorOr<std::string> textIn(const boost::json::object &json, std::string_view field)
{
    const auto *value = json.if_contains(field);
    if (!value)
        return std::string();
    if (!value->is_string())
        return Core::failure(Core::ErrorCode::InvalidArgument, std::string(field) + ": not a text");
    return std::string(value->get_string());
}

std::optional<Core::Duration> durationOf(const std::optional<std::uint64_t> &milliseconds)
{
    if (!milliseconds)
        return std::nullopt;
    return Core::Duration(static_cast<std::int64_t>(*milliseconds));
}

Core::ErrorOr<void> checkFields(const boost::json::object &json)
{
    constexpr std::array<std::string_view, 5> known{"fault", "ms", "for_ms", "count", "from"};
    for (const auto &field : json) {
        if (std::find(known.begin(), known.end(), std::string_view(field.key())) == known.end())
            return Core::failure(Core::ErrorCode::InvalidArgument,
                                 std::string(field.key()) + ": unknown field");
    }
    return {};
}

Core::ErrorOr<FaultCommand> checked(FaultCommand command)
{
    const auto needsAmount = command.kind == FaultKind::Pause || command.kind == FaultKind::Delay
        || command.kind == FaultKind::Lag || command.kind == FaultKind::LateAnswers;
    if (needsAmount && !command.amount)
        return Core::failure(Core::ErrorCode::InvalidArgument, "ms: this fault needs it");
    if (command.kind == FaultKind::Cut && command.from.isEmpty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "from: this fault needs it");
    if (command.kind == FaultKind::OlderVersion && !command.count)
        return Core::failure(Core::ErrorCode::InvalidArgument, "count: this fault needs it");
    return command;
}

} // namespace

Core::ErrorOr<FaultCommand> FaultCommand::create(std::string_view text)
{
    boost::system::error_code error;
    const auto json = boost::json::parse(text, error);
    if (error || !json.is_object())
        return Core::failure(Core::ErrorCode::InvalidArgument, "not a JSON object");
    const auto &object = json.get_object();
    if (const auto known = checkFields(object); !known)
        return tl::unexpected(known.error());
    FaultCommand command;
    command.kind = TRY(kindOf(TRY(textIn(object, "fault"))));
    command.amount = durationOf(TRY(numberIn(object, "ms")));
    command.duration = durationOf(TRY(numberIn(object, "for_ms")));
    command.count = TRY(numberIn(object, "count"));
    command.from = Core::DataCentreName(TRY(textIn(object, "from")));
    return checked(std::move(command));
}

void FaultBoard::apply(const FaultCommand &command, Core::Instant now)
{
    if (command.kind == FaultKind::Heal) {
        *this = FaultBoard();
        return;
    }
    Window window;
    window.amount = command.amount.value_or(Core::Duration());
    if (command.duration)
        window.until = now + *command.duration;
    if (command.kind == FaultKind::Cut) {
        cuts_[command.from] = window;
        return;
    }
    if (command.kind == FaultKind::OlderVersion)
        revisionsBack_ = command.count.value_or(0);
    else
        window.remaining = command.count;
    windows_[command.kind] = window;
}

const FaultBoard::Window *FaultBoard::inForce(FaultKind kind, Core::Instant now) const
{
    const auto found = windows_.find(kind);
    if (found == windows_.end())
        return nullptr;
    const auto &window = found->second;
    if ((window.until && now >= *window.until) || window.remaining == 0U)
        return nullptr;
    return &window;
}

std::optional<Core::Duration> FaultBoard::use(FaultKind kind, Core::Instant now)
{
    if (!inForce(kind, now))
        return std::nullopt;
    auto &window = windows_[kind];
    if (window.remaining)
        --*window.remaining;
    return window.amount;
}

bool FaultBoard::isRefusing(Core::Instant now) const
{
    return inForce(FaultKind::Refuse, now) != nullptr;
}

bool FaultBoard::isCut(const Core::DataCentreName &from, Core::Instant now) const
{
    const auto found = cuts_.find(from);
    return found != cuts_.end() && !(found->second.until && now >= *found->second.until);
}

std::optional<Core::Duration> FaultBoard::lag(Core::Instant now) const
{
    const auto *window = inForce(FaultKind::Lag, now);
    return window ? std::optional(window->amount) : std::nullopt;
}

std::size_t FaultBoard::revisionsBack(Core::Instant now) const
{
    return inForce(FaultKind::OlderVersion, now) ? revisionsBack_ : 0;
}

AnswerPlan FaultBoard::planAnswer(Core::Instant now)
{
    AnswerPlan plan;
    if (use(FaultKind::DropAnswers, now)) {
        plan.copies = 0;
        return plan;
    }
    if (const auto delay = use(FaultKind::Delay, now))
        plan.delay = *delay;
    if (const auto late = use(FaultKind::LateAnswers, now))
        plan.delay = plan.delay + *late;
    if (use(FaultKind::DuplicateAnswers, now))
        plan.copies = 2;
    plan.changesPlaces = use(FaultKind::ReorderAnswers, now).has_value();
    return plan;
}

} // namespace Chervilpin::StandIn
