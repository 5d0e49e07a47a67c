#pragma once

#include <Admit/AdmissionFilter.h>
#include <Engine/ControlPlane.h>
#include <Engine/Node.h>
#include <Engine/Request.h>
#include <Engine/TransactionTable.h>
#include <Execute/RetryBudget.h>
#include <Route/Router.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <utility>

namespace Chervilpin::Engine {

/// The path of a request through its filters: authenticate, admit, queue, route, borrow, execute,
/// confirm, answer.
///
/// Each filter's decisions are made by the library of that name; this class carries a request from
/// one to the next.
class RequestPipeline
{
public:
    RequestPipeline(Node &, ControlPlane &);

    void accept(CallerRequest, Core::Instant now);
    /// The end of a wait for tokens.
    void decided(const Allotment::Decision &, Core::Instant now);
    void statementAnswered(const Outstanding &, Upstream::Answer, Core::Instant now);
    /// A statement's connection ended before its answer.
    void statementLost(const Outstanding &, Core::Instant now);
    void rollbackEnded(const Outstanding &, Core::Instant now);
    /// A group's sample query was answered or failed.
    void sampleEnded(GroupRuntime &, Core::Instant now);
    /// Cuts what waits and what is open under keys that are withdrawn.
    void keysWithdrawn(std::span<const Authenticate::KeyId>, Core::Instant now);
    /// Looks again at the queues and confirmations of groups that changed.
    void dispatch(Core::Instant now);
    void tick(Core::Instant now);
    /// From now on new requests are refused.
    void refuseNew() { isRefusingNew_ = true; }
    /// Whether no request and no transaction is left.
    [[nodiscard]] bool isIdle() const { return requests_.empty() && transactions_.isEmpty(); }
    /// Rolls back every transaction and answers every request, for a stop that can't wait.
    void abandonAll(Core::Instant now);

private:
    struct Refusal
    {
        RefusalReason reason = RefusalReason::None;
        std::string message;
        Core::Duration retryAfter;
        std::string location;
    };
    using MaybeRefusal = std::optional<Refusal>;

    // Accept and authenticate.
    void prepare(Request &, Core::Instant now);
    [[nodiscard]] MaybeRefusal authenticate(Request &, Core::Instant now);
    [[nodiscard]] MaybeRefusal checkTeam(Request &, const Configuration::RouteSpec &,
                                         Core::Instant now);
    [[nodiscard]] MaybeRefusal checkOwner(const Request &, const GroupRuntime &) const;
    [[nodiscard]] MaybeRefusal checkTransaction(const Request &);

    // Admit and queue.
    void admit(Request &, Core::Instant now);
    void enqueue(Request &, Core::Instant now);
    void runInTransaction(Request &, Core::Instant now);
    void takeFromQueues(GroupRuntime &, Core::Instant now);
    void refuseExpired(Queue::FairQueue &, Core::Instant now);

    // Route and borrow.
    void route(Request &, Core::Instant now);
    void waitForPrimary(Request &, const Route::Refuse &, Core::Instant now);
    void waitForSample(Request &, GroupRuntime &);
    void askForSample(GroupRuntime &, Core::Instant now);
    void sampleAgain(GroupRuntime &, Core::Instant now);
    void borrow(Request &, GroupRuntime &, Core::Instant now);
    void serveWaiting(GroupRuntime &, Core::Instant now);
    void hedge(Request &, Core::Instant now);

    // Execute.
    [[nodiscard]] bool lendAndSend(Request &, GroupRuntime &, DatabaseRuntime &,
                                   const Route::SendTo &, Core::Instant now);
    [[nodiscard]] bool send(Request &, GroupRuntime &, DatabaseRuntime &, ConnectionId,
                            const Route::SendTo &, Core::Instant now);
    void delivered(Request &, GroupRuntime &, Core::Instant now);
    void deliveredRead(Request &, GroupRuntime &, Core::Instant now);
    void releaseRead(Request &, Core::Instant now);
    void deliveredInTransaction(Request &, GroupRuntime &, Core::Instant now);
    void beginDelivered(Request &, Core::Instant now);
    void releaseConnection(const Outstanding &, const Upstream::Answer &, bool isPinned,
                           Core::Instant now);
    void apply(Request &, const Execute::AttemptStep &, Core::Instant now);
    [[nodiscard]] Execute::RetryContext retryContext(const Request &, Core::Instant now);

    // Confirm.
    void confirm(Request &, GroupRuntime &, Confirm::ConfirmationKind, Core::Instant now);
    void reviewConfirmations(GroupRuntime &, Core::Instant now);
    void confirmed(Request &, Core::Instant now);
    void notConfirmed(Request &, Core::Instant now);
    void confirmationTimedOut(Request &, Core::Instant now);

    // Answer.
    void refuse(Request &, const Refusal &, Core::Instant now);
    void finish(Request &, CallerAnswer, Core::Instant now);
    void finishDone(Request &, Core::Instant now);

    // Transactions.
    void statementOfTransactionEnded(Transaction &, bool isStillOpen, Core::Instant now);
    [[nodiscard]] bool isStatementOutstanding(const Transaction &) const;
    void rollBack(Transaction &, Core::Instant now);
    void rollBackOrphan(const Outstanding &, Core::Instant now);
    void sendRollback(const Outstanding &place, Core::Term term, Core::Instant now);
    void cutIf(const std::function<bool(const Request &)> &,
               const std::function<bool(const Transaction &)> &, Core::Instant now);

    void enter(Request &, Stage, Core::Instant now);
    void wakeAt(const Request &, Core::Instant at);
    void wake(Request &, Core::Instant now);
    [[nodiscard]] Request *find(RequestId);
    [[nodiscard]] GroupRuntime &groupOf(const Request &);

    Node &node_;
    ControlPlane &control_;
    Admit::AdmissionFilter admission_;
    Route::Router router_;
    Execute::RetryBudgets budgets_;
    std::map<RequestId, Request> requests_;
    std::set<std::pair<Core::Instant, RequestId>> wakeups_;
    TransactionTable transactions_;
    Confirm::ConfirmationId nextConfirmation_ = 1;
    bool isRefusingNew_ = false;
};

} // namespace Chervilpin::Engine
