#include <Allotment/Codec.h>

#include <Core/Verify.h>

#include <allotment.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace Chervilpin::Allotment {

namespace Wire = chervilpin::allotment;

namespace {

constexpr int maximumEntries = 4096;
constexpr std::int64_t maximumAmount = 1'000'000'000'000'000;

Core::ErrorOr<Message> malformed(const char *reason)
{
    return Core::failure(Core::ErrorCode::InvalidArgument, reason);
}

bool isAmount(std::int64_t value)
{
    return value >= 0 && value <= maximumAmount;
}

void write(const ShareId &share, Wire::ShareId *target)
{
    target->set_shard(share.shard);
    target->set_index(share.index);
}

ShareId read(const Wire::ShareId &share)
{
    return {share.shard(), share.index()};
}

void write(const Ask &ask, Wire::Message &message)
{
    Wire::Ask *target = message.mutable_ask();
    write(ask.share, target->mutable_share());
    target->set_ask_id(ask.askId);
    for (const AskEntry &entry : ask.entries) {
        Wire::AskEntry *targetEntry = target->add_entries();
        targetEntry->set_resource(entry.resource.value());
        targetEntry->set_held(entry.held);
        targetEntry->set_returned(entry.returned);
        targetEntry->set_urgent(entry.urgent);
        targetEntry->set_ahead(entry.ahead);
        targetEntry->set_demand(entry.demand);
        targetEntry->set_held_epoch(entry.heldEpoch);
        targetEntry->set_total(entry.total);
    }
}

void write(const Grant &grant, Wire::Message &message)
{
    Wire::Grant *target = message.mutable_grant();
    write(grant.share, target->mutable_share());
    target->set_ask_id(grant.askId);
    target->set_epoch(grant.epoch);
    for (const GrantEntry &entry : grant.entries) {
        Wire::GrantEntry *targetEntry = target->add_entries();
        targetEntry->set_resource(entry.resource.value());
        targetEntry->set_added(entry.added);
        targetEntry->set_recalled(entry.recalled);
        targetEntry->set_level(entry.level);
    }
}

void write(const Redirect &redirect, Wire::Message &message)
{
    Wire::Redirect *target = message.mutable_redirect();
    write(redirect.share, target->mutable_share());
    target->set_ask_id(redirect.askId);
    target->set_owner(redirect.owner.value());
}

void write(const SupportRequest &request, Wire::Message &message)
{
    Wire::SupportRequest *target = message.mutable_support_request();
    write(request.share, target->mutable_share());
    target->set_epoch(request.epoch);
    target->set_request_id(request.requestId);
}

void write(const Support &support, Wire::Message &message)
{
    Wire::Support *target = message.mutable_support();
    write(support.share, target->mutable_share());
    target->set_epoch(support.epoch);
    target->set_request_id(support.requestId);
}

void write(const TestimonyRequest &request, Wire::Message &message)
{
    Wire::TestimonyRequest *target = message.mutable_testimony_request();
    write(request.share, target->mutable_share());
    target->set_epoch(request.epoch);
}

void write(const Testimony &testimony, Wire::Message &message)
{
    Wire::Testimony *target = message.mutable_testimony();
    write(testimony.share, target->mutable_share());
    target->set_epoch(testimony.epoch);
    target->set_clear(testimony.isClear);
}

Core::ErrorOr<Message> read(const Wire::Ask &from)
{
    if (from.entries_size() > maximumEntries)
        return malformed("ask has more than 4096 entries");
    Ask ask{read(from.share()), from.ask_id(), {}};
    for (const Wire::AskEntry &entry : from.entries()) {
        const bool isValid = isAmount(entry.held()) && isAmount(entry.returned())
            && isAmount(entry.urgent()) && isAmount(entry.ahead()) && isAmount(entry.demand())
            && isAmount(entry.total());
        if (!isValid)
            return malformed("ask has an amount outside 0 to 10^15");
        ask.entries.push_back({ResourceName(entry.resource()), entry.held(), entry.returned(),
                               entry.urgent(), entry.ahead(), entry.demand(), entry.held_epoch(),
                               entry.total()});
    }
    return Message(std::move(ask));
}

Core::ErrorOr<Message> read(const Wire::Grant &from)
{
    if (from.entries_size() > maximumEntries)
        return malformed("grant has more than 4096 entries");
    Grant grant{read(from.share()), from.ask_id(), from.epoch(), {}};
    for (const Wire::GrantEntry &entry : from.entries()) {
        const bool isValid =
            isAmount(entry.added()) && isAmount(entry.recalled()) && isAmount(entry.level());
        if (!isValid)
            return malformed("grant has an amount outside 0 to 10^15");
        grant.entries.push_back(
            {ResourceName(entry.resource()), entry.added(), entry.recalled(), entry.level()});
    }
    return Message(std::move(grant));
}

} // namespace

std::string Codec::encode(const Message &message)
{
    Wire::Message wire;
    std::visit([&wire](const auto &body) { write(body, wire); }, message);
    return wire.SerializeAsString();
}

std::string Codec::encode(const Claim &claim)
{
    Wire::Claim wire;
    wire.set_owner(claim.owner.value());
    wire.set_incarnation(claim.incarnation);
    wire.set_epoch(claim.epoch);
    wire.set_serial(claim.serial);
    wire.set_released(claim.isReleased);
    for (const Core::NodeName &witness : claim.witnesses)
        wire.add_witnesses(witness.value());
    // The platform stores text, so a claim is written in protobuf's JSON form.
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(wire, &text);
    VERIFY(status.ok());
    return text;
}

Core::ErrorOr<Message> Codec::decodeMessage(std::string_view payload)
{
    Wire::Message wire;
    if (!wire.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return malformed("payload is not a valid allotment message");
    switch (wire.body_case()) {
    case Wire::Message::kAsk:
        return read(wire.ask());
    case Wire::Message::kGrant:
        return read(wire.grant());
    case Wire::Message::kRedirect:
        return Message(Redirect{read(wire.redirect().share()), wire.redirect().ask_id(),
                                Core::NodeName(wire.redirect().owner())});
    case Wire::Message::kSupportRequest:
        return Message(SupportRequest{read(wire.support_request().share()),
                                      wire.support_request().epoch(),
                                      wire.support_request().request_id()});
    case Wire::Message::kSupport:
        return Message(Support{read(wire.support().share()), wire.support().epoch(),
                               wire.support().request_id()});
    case Wire::Message::kTestimonyRequest:
        return Message(TestimonyRequest{read(wire.testimony_request().share()),
                                        wire.testimony_request().epoch()});
    case Wire::Message::kTestimony:
        return Message(Testimony{read(wire.testimony().share()), wire.testimony().epoch(),
                                 wire.testimony().clear()});
    case Wire::Message::BODY_NOT_SET:
        break;
    }
    return malformed("allotment message has no body");
}

Core::ErrorOr<Claim> Codec::decodeClaim(std::string_view value)
{
    Wire::Claim wire;
    const google::protobuf::StringPiece text(value.data(), value.size());
    if (!google::protobuf::util::JsonStringToMessage(text, &wire).ok())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "value is not the JSON form of a claim");
    if (wire.owner().empty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "claim has an empty owner");
    Claim claim{Core::NodeName(wire.owner()),
                wire.incarnation(),
                wire.epoch(),
                wire.serial(),
                wire.released(),
                {}};
    for (const std::string &witness : wire.witnesses())
        claim.witnesses.emplace_back(witness);
    return claim;
}

} // namespace Chervilpin::Allotment
