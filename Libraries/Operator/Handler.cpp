#include <Operator/Handler.h>

#include <Operator/AnswerWriter.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <cstdio>

namespace Chervilpin::Operator {

namespace json = boost::json;

namespace {

constexpr std::size_t resourcesSegments = 2;
constexpr std::size_t resourceSegments = 4;
constexpr std::uint64_t defaultWatchMilliseconds = 10'000;

OperatorAnswer notFound(RequestId id, std::string message)
{
    return answerWithError(id, {Core::ErrorCode::NotFound, std::move(message)});
}

OperatorAnswer badRequest(RequestId id, std::string message)
{
    return answerWithError(id, {Core::ErrorCode::InvalidArgument, std::move(message)});
}

OperatorAnswer wrongMethod(RequestId id)
{
    OperatorAnswer answer = badRequest(id, "that method isn't for this path");
    answer.status = 405;
    return answer;
}

/// The kind that the query asks for; nullopt for all; an error if it is unknown.
Core::ErrorOr<std::optional<Configuration::Kind>> kindAskedFor(const Target &target)
{
    const std::string *text = target.find("kind");
    if (text == nullptr)
        return std::optional<Configuration::Kind>();
    const auto kind = Configuration::kindFromString(*text);
    if (!kind)
        return Core::failure(Core::ErrorCode::InvalidArgument, "unknown kind: " + *text);
    return kind;
}

json::object toJson(const Condition &condition, Core::Duration age)
{
    return {{"type", condition.type},
            {"status", condition.isTrue},
            {"reason", condition.reason},
            {"message", condition.message},
            {"since_ms", age.milliseconds()}};
}

/// Only the same changes by the same operator with the same nonce are a retry.
std::string qualifiedNonce(const Configuration::Proposal &proposal)
{
    const std::string items = Configuration::encodeChange({0, 0, "", "", proposal.items});
    const std::uint64_t digest = Configuration::extendDigest(0, items);
    return proposal.author + ":" + proposal.nonce + ":" + std::to_string(digest);
}

json::object effect(const Configuration::ResourceChange &item,
                    const Configuration::Resource *before)
{
    json::object entry{{"kind", toString(item.id.kind)}, {"name", item.id.name}};
    const bool isDeletion = item.action == Configuration::ChangeAction::Delete;
    if (before != nullptr)
        entry["before"] = Configuration::toJson(before->spec);
    if (item.spec)
        entry["after"] = Configuration::toJson(*item.spec);
    if (isDeletion)
        entry["effect"] = "deleted";
    else if (before == nullptr)
        entry["effect"] = "created";
    else
        entry["effect"] = before->spec == *item.spec ? "unchanged" : "changed";
    return entry;
}

} // namespace

Handler::Handler(Settings settings, const Configuration::Manager &configuration,
                 const Membership::Manager &membership, std::uint64_t seed)
    : settings_(std::move(settings))
    , configuration_(configuration)
    , membership_(membership)
    , random_(seed)
{ }

Actions Handler::handle(const OperatorRequest &request, Core::Instant now)
{
    Actions actions;
    const auto name =
        authenticate(request.authorization, *configuration_.snapshot(), settings_.bootstrap);
    if (!name) {
        actions.emplace_back(answerWithError(request.id, name.error()));
        return actions;
    }
    const auto target = parseTarget(request.target);
    if (!target) {
        actions.emplace_back(answerWithError(request.id, target.error()));
        return actions;
    }
    if (waiting_.size() + watches_.size() >= settings_.maxWaiting) {
        actions.emplace_back(answerWithError(
            request.id, {Core::ErrorCode::ResourceExhausted, "too many requests wait already"}));
        return actions;
    }
    route(request, *target, *name, now, actions);
    return actions;
}

void Handler::route(const OperatorRequest &request, const Target &target,
                    const Configuration::OperatorName &name, Core::Instant now, Actions &actions)
{
    const auto &segments = target.segments;
    const bool isOurs = segments.size() >= resourcesSegments && segments[0] == "v1";
    if (!isOurs) {
        actions.emplace_back(notFound(request.id, "paths start with /v1/"));
        return;
    }
    if (segments[1] == "resources" && segments.size() == resourcesSegments)
        handleResources(request, target, now, actions);
    else if (segments[1] == "resources" && segments.size() == resourceSegments)
        handleResource(request, target, name, now, actions);
    else if (segments[1] == "changes" && request.method == Method::Post)
        propose(request.id, readChanges(request.body), name, actions);
    else if (segments[1] == "watch" && request.method == Method::Get)
        handleWatch(request, target, now, actions);
    else if (segments[1] == "status" && request.method == Method::Get)
        handleStatus(request, actions);
    else
        actions.emplace_back(notFound(request.id, "no such path for that method"));
}

void Handler::handleResource(const OperatorRequest &request, const Target &target,
                             const Configuration::OperatorName &name, Core::Instant now,
                             Actions &actions)
{
    const auto kind = Configuration::kindFromString(target.segments[2]);
    if (!kind) {
        actions.emplace_back(badRequest(request.id, "unknown kind: " + target.segments[2]));
        return;
    }
    const Configuration::ResourceId id{*kind, target.segments[3]};
    if (request.method == Method::Put) {
        propose(request.id, readPut(id, request.body), name, actions);
        return;
    }
    if (request.method != Method::Get && request.method != Method::Delete) {
        actions.emplace_back(wrongMethod(request.id));
        return;
    }
    const Configuration::Resource *resource = configuration_.snapshot()->find(id);
    // A deletion with a nonce may be a retry of one that took effect, which the proposal tells.
    const bool mayBeRetry = request.method == Method::Delete && target.find("nonce") != nullptr;
    if (resource == nullptr && !mayBeRetry)
        actions.emplace_back(notFound(request.id, toString(id) + " doesn't exist"));
    else if (request.method == Method::Delete)
        propose(request.id, readDelete(id, target), name, actions);
    else
        actions.emplace_back(answerWith(request.id, 200, describe(*resource, now)));
}

void Handler::handleResources(const OperatorRequest &request, const Target &target,
                              Core::Instant now, Actions &actions)
{
    if (request.method != Method::Get) {
        actions.emplace_back(wrongMethod(request.id));
        return;
    }
    const auto kind = kindAskedFor(target);
    if (!kind)
        actions.emplace_back(answerWithError(request.id, kind.error()));
    else
        actions.emplace_back(answerWith(request.id, 200, listResources(*kind, now)));
}

void Handler::handleWatch(const OperatorRequest &request, const Target &target, Core::Instant now,
                          Actions &actions)
{
    const auto kind = kindAskedFor(target);
    const auto since = target.number("since", 0);
    const auto wait = target.number("wait_ms", defaultWatchMilliseconds);
    if (!kind || !since || !wait) {
        actions.emplace_back(badRequest(request.id, "kind, since or wait_ms can't be read"));
        return;
    }
    const auto bounded =
        std::min(*wait, static_cast<std::uint64_t>(settings_.maxWatchWait.milliseconds()));
    const Watch watch{request.id, *since, *kind,
                      now + Core::Duration(static_cast<std::int64_t>(bounded))};
    if (configuration_.snapshot()->revision() > watch.since)
        answerWatch(watch, now, actions);
    else
        watches_.push_back(watch);
}

void Handler::answerWatch(const Watch &watch, Core::Instant now, Actions &actions)
{
    actions.emplace_back(answerWith(watch.id, 200, listResources(watch.kind, now)));
}

void Handler::handleStatus(const OperatorRequest &request, Actions &actions)
{
    json::object body = describeFleet(membership_);
    body["revision"] = configuration_.snapshot()->revision();
    actions.emplace_back(answerWith(request.id, 200, body));
}

void Handler::propose(RequestId id, Configuration::FieldErrorsOr<ChangeRequest> request,
                      const Configuration::OperatorName &name, Actions &actions)
{
    if (!request) {
        actions.emplace_back(answerWithError(
            id, {Core::ErrorCode::InvalidArgument, "the request has errors"}, request.error()));
        return;
    }
    Configuration::Proposal &proposal = request->proposal;
    proposal.id = ++lastProposal_;
    proposal.author = name.value();
    if (proposal.nonce.empty())
        proposal.nonce = std::to_string(random_.bits());
    proposal.nonce = qualifiedNonce(proposal);
    json::array effects = effectsOf(proposal);
    if (request->mode == RunMode::DryRun) {
        actions.emplace_back(answerToProposal(id, configuration_.check(proposal), effects));
        return;
    }
    waiting_[proposal.id] = {id, std::move(effects)};
    actions.emplace_back(Propose{std::move(proposal)});
}

Actions Handler::proposalAnswered(const Configuration::ProposalAnswer &answer, Core::Instant)
{
    Actions actions;
    const auto place = waiting_.find(answer.id);
    if (place == waiting_.end())
        return actions;
    actions.emplace_back(answerToProposal(place->second.id, answer, place->second.effects));
    waiting_.erase(place);
    return actions;
}

Actions Handler::configurationApplied(Core::Instant now)
{
    Actions actions;
    const Configuration::Revision revision = configuration_.snapshot()->revision();
    for (const Watch &watch : watches_) {
        if (revision > watch.since)
            answerWatch(watch, now, actions);
    }
    std::erase_if(watches_, [&](const Watch &watch) { return revision > watch.since; });
    std::erase_if(conditions_, [&](const auto &entry) {
        return configuration_.snapshot()->find(entry.first) == nullptr;
    });
    return actions;
}

Actions Handler::tick(Core::Instant now)
{
    Actions actions;
    for (const Watch &watch : watches_) {
        if (now >= watch.until)
            answerWatch(watch, now, actions);
    }
    std::erase_if(watches_, [&](const Watch &watch) { return now >= watch.until; });
    return actions;
}

void Handler::setCondition(const Configuration::ResourceId &id, const Condition &condition,
                           Core::Instant now)
{
    auto &held = conditions_[id];
    const auto place = held.find(condition.type);
    const bool isSame = place != held.end() && place->second.condition.isTrue == condition.isTrue;
    held[condition.type] = {condition, isSame ? place->second.since : now};
}

json::object Handler::describe(const Configuration::Resource &resource, Core::Instant now) const
{
    json::object body = Configuration::toJson(resource);
    json::array conditions;
    conditions.push_back(toJson(inForce(resource), Core::Duration()));
    const auto held = conditions_.find(resource.id);
    if (held != conditions_.end()) {
        for (const auto &[type, entry] : held->second)
            conditions.push_back(toJson(entry.condition, now - entry.since));
    }
    body["status"] = json::object{{"observed_generation", configuration_.snapshot()->revision()},
                                  {"conditions", std::move(conditions)}};
    return body;
}

/// Counts the members that have the resource's version in force.
Condition Handler::inForce(const Configuration::Resource &resource) const
{
    std::uint64_t members = 0;
    std::uint64_t current = 0;
    for (const Membership::Summary &summary : membership_.summaries()) {
        for (const Membership::RevisionCount &count : summary.counts) {
            members += count.members;
            if (count.revision >= resource.version)
                current += count.members;
        }
    }
    const bool isEverywhere = current == members;
    return {"InForce", isEverywhere, isEverywhere ? "AllMembers" : "Lagging",
            std::to_string(current) + " of " + std::to_string(members)
                + " members have this version in force"};
}

json::object Handler::listResources(std::optional<Configuration::Kind> kind,
                                    Core::Instant now) const
{
    const auto snapshot = configuration_.snapshot();
    json::array list;
    for (const auto &resource : kind ? snapshot->resources(*kind) : snapshot->resources())
        list.push_back(describe(resource, now));
    return {{"revision", snapshot->revision()}, {"resources", std::move(list)}};
}

json::array Handler::effectsOf(const Configuration::Proposal &proposal) const
{
    json::array effects;
    for (const Configuration::ResourceChange &item : proposal.items)
        effects.push_back(effect(item, configuration_.snapshot()->find(item.id)));
    return effects;
}

} // namespace Chervilpin::Operator
