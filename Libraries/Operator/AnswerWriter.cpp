#include <Operator/AnswerWriter.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace Chervilpin::Operator {

namespace json = boost::json;

namespace {

unsigned statusOf(Core::ErrorCode code)
{
    switch (code) {
    case Core::ErrorCode::InvalidArgument:
        return 400;
    case Core::ErrorCode::Unauthenticated:
        return 401;
    case Core::ErrorCode::Forbidden:
        return 403;
    case Core::ErrorCode::NotFound:
        return 404;
    case Core::ErrorCode::Conflict:
        return 409;
    case Core::ErrorCode::ResourceExhausted:
        return 429;
    case Core::ErrorCode::Unavailable:
        return 503;
    case Core::ErrorCode::Timeout:
        return 504;
    case Core::ErrorCode::Internal:
        return 500;
    }
    return 500;
}

json::array describeErrors(const Configuration::FieldErrors &errors)
{
    json::array list;
    for (const Configuration::FieldError &error : errors) {
        list.push_back(json::object{
            {"field", error.path}, {"problem", error.problem}, {"remedy", error.remedy}});
    }
    return list;
}

Core::ErrorCode codeOf(Configuration::ProposalOutcome outcome)
{
    switch (outcome) {
    case Configuration::ProposalOutcome::Refused:
        return Core::ErrorCode::InvalidArgument;
    case Configuration::ProposalOutcome::Conflict:
        return Core::ErrorCode::Conflict;
    case Configuration::ProposalOutcome::Unavailable:
        return Core::ErrorCode::Unavailable;
    case Configuration::ProposalOutcome::Unknown:
        return Core::ErrorCode::Timeout;
    case Configuration::ProposalOutcome::Accepted:
        break;
    }
    return Core::ErrorCode::Internal;
}

std::string messageOf(const Configuration::ProposalAnswer &answer)
{
    if (answer.winner.empty())
        return answer.message;
    return answer.message + "; the change of " + answer.winner + " was accepted";
}

json::object describeMember(const Membership::Member &member)
{
    return {{"name", member.name.value()},        {"data_centre", member.dataCentre.value()},
            {"peer_address", member.peerAddress}, {"health", Membership::toString(member.health)},
            {"is_leaving", member.isLeaving},     {"is_listed", member.isListed}};
}

json::object describeSummary(const Membership::Summary &summary)
{
    json::array counts;
    for (const Membership::RevisionCount &count : summary.counts)
        counts.push_back(json::object{{"revision", count.revision}, {"members", count.members}});
    json::array laggards;
    for (const Membership::Laggard &laggard : summary.laggards) {
        laggards.push_back(
            json::object{{"name", laggard.name.value()}, {"revision", laggard.revision}});
    }
    return {{"name", summary.dataCentre.value()},
            {"counted_by", summary.aggregator.value()},
            {"in_force", std::move(counts)},
            {"laggards", std::move(laggards)}};
}

} // namespace

OperatorAnswer answerWith(RequestId id, unsigned status, const json::object &body)
{
    return {id, status, json::serialize(body)};
}

OperatorAnswer answerWithError(RequestId id, const Core::Error &error,
                               const Configuration::FieldErrors &errors)
{
    return answerWith(id, statusOf(error.code),
                      {{"error",
                        json::object{{"code", Core::toString(error.code)},
                                     {"message", error.message},
                                     {"errors", describeErrors(errors)}}}});
}

OperatorAnswer answerToProposal(RequestId id, const Configuration::ProposalAnswer &answer,
                                const json::array &effects)
{
    if (answer.outcome == Configuration::ProposalOutcome::Accepted) {
        return answerWith(id, 200, {{"revision", answer.revision}, {"effects", effects}});
    }
    return answerWithError(id, {codeOf(answer.outcome), messageOf(answer)}, answer.errors);
}

json::object describeFleet(const Membership::Manager &membership)
{
    json::array members;
    members.push_back(describeMember(membership.self()));
    for (const Membership::Member &member : membership.members())
        members.push_back(describeMember(member));
    json::array dataCentres;
    for (const Membership::Summary &summary : membership.summaries())
        dataCentres.push_back(describeSummary(summary));
    return {{"members", std::move(members)}, {"data_centres", std::move(dataCentres)}};
}

} // namespace Chervilpin::Operator
