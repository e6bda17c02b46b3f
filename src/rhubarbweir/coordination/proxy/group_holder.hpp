// The holder side of one group: admits forwarded requests, runs them on the group's targets
// within the grant, and answers each of them once.
#pragma once

#include "rhubarbweir/coordination/proxy/read_planner.hpp"
#include "rhubarbweir/coordination/proxy/transaction_table.hpp"
#include "rhubarbweir/coordination/proxy/write_confirmation.hpp"

#include <set>
#include <utility>

namespace rhubarbweir {

struct GroupHolderHooks
{
    // `entry` is the proxy that forwarded the request.
    std::function<void(const InstanceId &entry, const ForwardAnswer &)> answer;
    std::function<std::uint64_t()> nextProbeId;
    TargetPoolHooks targets;
};

class GroupHolder
{
public:
    GroupHolder(const ProxySettings &settings, GroupHolderHooks hooks, std::mt19937_64 &random);

    // `grants` is empty when this proxy holds nothing of the group any more: queued work is
    // refused, running work ends.
    void setView(const GroupView &group, const std::vector<TargetGrant> &grants, TimePoint now);
    void setLease(TimePoint deadline, TimePoint now);

    void forward(const InstanceId &entry, const ForwardRequest &message, TimePoint now);
    void endTransaction(const EndTransaction &message, TimePoint now);
    // Nobody waits for the answers of `entry` any more.
    void entryLost(const InstanceId &entry, TimePoint now);

    void targetOpened(Generation generation, const ConnectionOpened &message, TimePoint now);
    void targetRefused(Generation generation, OpenFailure failure, TimePoint now);
    void targetMessage(Generation generation, const TargetMessage &message, TimePoint now);
    void targetClosed(Generation generation, TimePoint now);

    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    bool holdsGrants() const { return !this->grants.empty(); }
    // Nothing is queued, running or open.
    bool isIdle() const { return this->works.empty() && this->transactions.size() == 0; }
    std::size_t queued() const { return this->reads.size() + this->writes.size(); }
    std::size_t openTransactions() const { return this->transactions.size(); }
    const TargetPool &targets() const { return this->pool; }

private:
    // Does everything that is due or became possible.
    void settle(TimePoint now);
    void admit(HolderWork &work, TimePoint now);
    Reason refusalOf(const HolderWork &work, TimePoint now, Duration &retryAfter) const;
    void noteRefusal(Reason reason);
    void joinTransaction(HolderWork &work, TimePoint now);

    void dispatchWrites(TimePoint now);
    void dispatchReads(TimePoint now);
    void refuseQueued(Reason reason, TimePoint now);
    // False when nothing was sent.
    bool start(HolderWork &work, Generation generation, std::uint64_t term,
               const LogPosition &minimum, TimePoint now);
    void runNext(const RequestKey &key, TimePoint now);

    void reply(Generation generation, const StatementReply &message, TimePoint now);
    void plainReply(HolderWork &work, const StatementReply &message, TimePoint now);
    void readDone(HolderWork &work, const StatementReply &message, TimePoint now);
    void beginReply(HolderWork &work, const StatementReply &message, TimePoint now);
    void transactionReply(HolderWork &work, const StatementReply &message, TimePoint now);
    void awaitConfirmation(HolderWork &work, Outcome outcome, Reason reason,
                           const StatementReply &message);

    void receiveStatus(const TargetStatus &status, TimePoint now);
    void completeRound(TimePoint now);
    void confirm(TimePoint now);
    void connectionLost(Generation generation, TimePoint now);
    // The statement's fate is unknown: reads run again, others ask for their outcome.
    void replyLost(HolderWork &work, TimePoint now);
    void requeue(HolderWork &work);
    void end(const RequestKey &key, TimePoint now);
    void expire(TimePoint now);
    void expireWork(HolderWork &work, TimePoint now);
    void leaveTerm(TimePoint now);
    void finish(HolderWork &work, Outcome outcome, Reason reason, TimePoint now,
                Duration retryAfter = Duration{0});
    void finish(HolderWork &work, CallerAnswer answer, TimePoint now);

    void report(ProxyEventKind kind, const RequestKey &request = {}, Reason reason = Reason::None);

    AdmissionQueue &queueOf(const HolderWork &work);
    const AdmissionQueue &queueOf(const HolderWork &work) const;
    std::size_t slotsFor(const HolderWork &work) const;

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
    // Every request that is not answered yet.
    std::map<Ticket, HolderWork> works;
    std::set<std::pair<TimePoint, Ticket>> deadlines;
    // The statement in flight on a connection; one at a time.
    std::map<Generation, Ticket> running;
    Ticket lastTicket = 0;
    // Requests were refused since the queues were last empty.
    bool isRefusing = false;
    // When queued work may become runnable without any event.
    TimePoint wakeAt = TimePoint::max();
    TimePoint lastSettled;
};

} // namespace rhubarbweir
