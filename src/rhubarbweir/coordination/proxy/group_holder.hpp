// Holder side of one group: admits forwarded requests, executes them on the group's targets
// within the granted slots, and answers each request exactly once.
#pragma once

#include "rhubarbweir/coordination/proxy/read_planner.hpp"
#include "rhubarbweir/coordination/proxy/transaction_table.hpp"
#include "rhubarbweir/coordination/proxy/write_confirmation.hpp"

#include <set>
#include <utility>

namespace rhubarbweir {

struct GroupHolderHooks
{
    // `entryProxy` is the proxy that forwarded the request.
    std::function<void(const InstanceId &entryProxy, const ForwardAnswer &)> answer;
    std::function<std::uint64_t()> nextProbeId;
    TargetPoolHooks targets;
};

class GroupHolder
{
public:
    GroupHolder(const ProxySettings &settings, GroupHolderHooks hooks, std::mt19937_64 &random);

    // `grants` is empty when this proxy no longer holds grants of the group: queued requests are
    // refused, running ones complete.
    void setView(const GroupView &group, const std::vector<TargetGrant> &grants, TimePoint now);
    void setLease(TimePoint deadline, TimePoint now);

    void forward(const InstanceId &entryProxy, const ForwardRequest &message, TimePoint now);
    void endTransaction(const EndTransaction &message, TimePoint now);
    // The connection to `entryProxy` is lost: aborts its transactions, drops its queued requests.
    void entryProxyLost(const InstanceId &entryProxy, TimePoint now);

    void targetOpened(Generation generation, const ConnectionOpened &message, TimePoint now);
    void targetRefused(Generation generation, OpenFailure failure, TimePoint now);
    void targetMessage(Generation generation, const TargetMessage &message, TimePoint now);
    void targetClosed(Generation generation, TimePoint now);

    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    bool holdsGrants() const { return !this->grants.empty(); }
    // No request is pending and no transaction is open.
    bool isIdle() const { return this->pendingRequests.empty() && this->transactions.size() == 0; }
    std::size_t queued() const { return this->reads.size() + this->writes.size(); }
    std::size_t openTransactions() const { return this->transactions.size(); }
    const TargetPool &targets() const { return this->pool; }

private:
    // Runs after each event: handles lost connections, completed rounds, confirmed writes and
    // expired deadlines, then dispatches queued requests.
    void processDueWork(TimePoint now);
    void admit(PendingRequest &pending, TimePoint now);
    Reason refusalReason(const PendingRequest &pending, TimePoint now, Duration &retryAfter) const;
    void reportRefusal(Reason reason);
    void joinTransaction(PendingRequest &pending, TimePoint now);

    void dispatchWrites(TimePoint now);
    void dispatchReads(TimePoint now);
    void refuseQueued(Reason reason, TimePoint now);
    // False, and the request requeued, when the statement could not be sent.
    bool start(PendingRequest &pending, Generation generation, std::uint64_t term,
               const LogPosition &minimum, TimePoint now);
    void runNextStatement(const RequestKey &key, TimePoint now);

    void handleReply(Generation generation, const StatementReply &message, TimePoint now);
    // Handles the reply to a statement outside a transaction.
    void handlePlainReply(PendingRequest &pending, const StatementReply &message, TimePoint now);
    void handleReadReply(PendingRequest &pending, const StatementReply &message, TimePoint now);
    void handleBeginReply(PendingRequest &pending, const StatementReply &message, TimePoint now);
    void handleTransactionReply(PendingRequest &pending, const StatementReply &message,
                                TimePoint now);
    void awaitConfirmation(PendingRequest &pending, Outcome outcome, Reason reason,
                           const StatementReply &message);

    void receiveStatus(const TargetStatus &status, TimePoint now);
    void completeRound(TimePoint now);
    void finishConfirmed(TimePoint now);
    void handleConnectionLost(Generation generation, TimePoint now);
    // No reply will arrive, so the outcome is unknown: requests that may be repeated run again,
    // others query their outcome.
    void handleReplyLost(PendingRequest &pending, TimePoint now);
    void requeue(PendingRequest &pending);
    // Closes the connection of the transaction; the outcome of a commit in flight is unknown.
    void abortTransaction(const RequestKey &key, TimePoint now);
    void expire(TimePoint now);
    void expireRequest(PendingRequest &pending, TimePoint now);
    // Aborts transactions, and gives up statements on the primary, that started in earlier terms.
    void abandonOlderTerms(TimePoint now);
    void finish(PendingRequest &pending, Outcome outcome, Reason reason, TimePoint now,
                Duration retryAfter = Duration{0});
    void finish(PendingRequest &pending, CallerAnswer answer, TimePoint now);

    void report(ProxyEventKind kind, const RequestKey &request = {}, Reason reason = Reason::None);

    AdmissionQueue &queueOf(const PendingRequest &pending);
    const AdmissionQueue &queueOf(const PendingRequest &pending) const;
    std::size_t slotsFor(const PendingRequest &pending) const;

    const ProxySettings &settings;
    GroupHolderHooks hooks;
    GroupView view;
    std::vector<TargetGrant> grants;
    TargetPool pool;
    AdmissionQueue reads;
    AdmissionQueue writes;
    ReadPlanner planner;
    ReadIndex readIndex;
    WriteConfirmation confirmation;
    TransactionTable transactions;
    // All unanswered requests.
    std::map<Ticket, PendingRequest> pendingRequests;
    std::set<std::pair<TimePoint, Ticket>> deadlines;
    // Statement in flight on each connection; at most one per connection.
    std::map<Generation, Ticket> running;
    Ticket lastTicket = 0;
    // Whether a request was refused since the queues were last empty.
    bool isRefusing = false;
    // When a queued request may become runnable without a further event.
    TimePoint wakeAt = TimePoint::max();
    TimePoint lastProcessedAt;
};

} // namespace rhubarbweir
