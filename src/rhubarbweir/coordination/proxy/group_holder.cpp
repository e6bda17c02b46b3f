// See group_holder.hpp. Replies are handled in internal/group_holder_replies.cpp.
#include "rhubarbweir/coordination/proxy/group_holder.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::uint32_t DefaultQueueLimit = 128;
// A request that has less time left than the mean service time, capped at this value, is not
// started.
constexpr Duration MaxStartAllowance = std::chrono::milliseconds(10);
constexpr std::size_t MaxWaitingInTransaction = 16;

std::size_t slotsOf(const std::vector<TargetGrant> &grants)
{
    std::size_t slots = 0;
    for (const TargetGrant &grant : grants)
        slots += grant.slots;
    return slots;
}

// Share of the group's queue limit in proportion to this holder's share of the slots. Full queues
// then take equally long to drain on every holder, and no holder attracts more requests than it
// can serve.
std::size_t queueShare(const GroupView &group, const std::vector<TargetGrant> &own)
{
    const std::size_t limit = group.queueLimit == 0 ? DefaultQueueLimit : group.queueLimit;
    std::size_t total = 0;
    for (const HolderView &holder : group.holders)
        total += slotsOf(holder.grants);
    if (total == 0)
        return limit;
    return std::max<std::size_t>(1, limit * slotsOf(own) / total);
}

} // namespace

GroupHolder::GroupHolder(const ProxySettings &givenSettings, GroupHolderHooks givenHooks,
                         std::mt19937_64 &random)
    : settings(givenSettings)
    , hooks(std::move(givenHooks))
    , pool(givenSettings, this->hooks.targets, random)
    , planner(givenSettings)
{
}

void GroupHolder::setView(const GroupView &group, const std::vector<TargetGrant> &newGrants,
                          TimePoint now)
{
    this->view = group;
    this->grants = newGrants;
    std::vector<TargetId> members;
    for (const TargetView &target : group.targets)
        members.push_back(target.target);
    const std::size_t limit = queueShare(group, newGrants);
    this->reads.setLimit(limit);
    this->writes.setLimit(limit);
    this->pool.setGroup(group, newGrants, now);
    this->readIndex.setGroup(group.size, group.term, members);
    this->confirmation.setGroup(group.size, group.term, members);
    this->abandonOlderTerms(now);
    this->processDueWork(now);
}

void GroupHolder::setLease(TimePoint deadline, TimePoint now)
{
    this->pool.setLease(deadline, now);
    this->processDueWork(now);
}

void GroupHolder::forward(const InstanceId &entryProxy, const ForwardRequest &message,
                          TimePoint now)
{
    const Ticket ticket = ++this->lastTicket;
    PendingRequest &pending = this->pendingRequests[ticket];
    pending.ticket = ticket;
    pending.entryProxy = entryProxy;
    pending.forwardId = message.forwardId;
    pending.request = message.request;
    pending.arrivedAt = now;
    pending.deadline = now + std::min(message.request.timeLeft, this->settings.maxTimeLeft);
    pending.asksOutcome = message.request.kind == RequestKind::AskOutcome;
    this->deadlines.emplace(pending.deadline, ticket);
    if (!this->pool.isLeaseValid(now))
        this->finish(pending, Outcome::NotRun, Reason::NoCurrentView, now);
    else if (pending.isInTransaction())
        this->joinTransaction(pending, now);
    else if (this->grants.empty())
        this->finish(pending, Outcome::NotRun, Reason::NoHolder, now);
    else
        this->admit(pending, now);
    this->processDueWork(now);
}

void GroupHolder::endTransaction(const EndTransaction &message, TimePoint now)
{
    const RequestKey key{message.session, message.transaction};
    std::vector<Ticket> begins;
    for (const auto &[ticket, pending] : this->pendingRequests) {
        if (pending.request.kind == RequestKind::Begin && keyOf(pending.request) == key)
            begins.push_back(ticket);
    }
    for (const Ticket ticket : begins) {
        PendingRequest &pending = this->pendingRequests.at(ticket);
        if (pending.stage == RequestStage::Running) {
            this->running.erase(pending.generation);
            this->pool.discard(pending.generation);
        }
        this->finish(pending, Outcome::NotRun, Reason::TransactionEnded, now);
    }
    const OpenTransaction *open = this->transactions.find(key);
    const auto current =
        open == nullptr ? this->pendingRequests.end() : this->pendingRequests.find(open->running);
    const bool isCommitting = current != this->pendingRequests.end()
                              && current->second.request.kind == RequestKind::Commit;
    // A commit in flight may still succeed, so its transaction is not aborted.
    if (open != nullptr && !isCommitting)
        this->abortTransaction(key, now);
    this->processDueWork(now);
}

void GroupHolder::entryProxyLost(const InstanceId &entryProxy, TimePoint now)
{
    for (const RequestKey &key : this->transactions.ofEntryProxy(entryProxy)) {
        EndTransaction message;
        message.session = key.session;
        message.transaction = key.request;
        this->endTransaction(message, now);
    }
    std::vector<Ticket> abandoned;
    for (const auto &[ticket, pending] : this->pendingRequests) {
        const bool isQueued = pending.stage == RequestStage::Queued && !pending.isInTransaction();
        if (pending.entryProxy == entryProxy && isQueued && !pending.mayHaveRun)
            abandoned.push_back(ticket);
    }
    for (const Ticket ticket : abandoned)
        this->finish(this->pendingRequests.at(ticket), Outcome::NotRun, Reason::HolderUnreachable,
                     now);
    this->processDueWork(now);
}

void GroupHolder::targetOpened(Generation generation, const ConnectionOpened &message,
                               TimePoint now)
{
    this->pool.opened(generation, message.status, now);
    this->receiveStatus(message.status, now);
    this->processDueWork(now);
}

void GroupHolder::targetRefused(Generation generation, OpenFailure failure, TimePoint now)
{
    this->pool.refused(generation, failure, now);
    this->processDueWork(now);
}

void GroupHolder::targetMessage(Generation generation, const TargetMessage &message, TimePoint now)
{
    const TargetId *target = this->pool.targetOf(generation);
    // Messages from a connection that was closed are ignored.
    if (target != nullptr) {
        if (const auto *status = std::get_if<TargetStatus>(&message))
            this->receiveStatus(*status, now);
        else
            this->handleReply(generation, std::get<StatementReply>(message), now);
    }
    this->processDueWork(now);
}

void GroupHolder::targetClosed(Generation generation, TimePoint now)
{
    this->pool.closed(generation, now);
    this->processDueWork(now);
}

void GroupHolder::advance(TimePoint now)
{
    this->processDueWork(now);
}

TimePoint GroupHolder::nextDeadline() const
{
    const TimePoint now = this->lastProcessedAt;
    TimePoint next =
        std::min({this->pool.nextDeadline(now), this->transactions.nextDeadline(), this->wakeAt});
    if (!this->deadlines.empty())
        next = std::min(next, this->deadlines.begin()->first);
    if (this->pool.isLeaseValid(now) && this->holdsGrants())
        next = std::min(next, this->readIndex.nextDeadline());
    return next;
}

void GroupHolder::processDueWork(TimePoint now)
{
    this->lastProcessedAt = now;
    this->wakeAt = TimePoint::max();
    this->pool.maintain(now);
    for (const Generation generation : this->pool.takeLostConnections())
        this->handleConnectionLost(generation, now);
    this->completeRound(now);
    this->finishConfirmed(now);
    this->expire(now);
    if (!this->pool.isLeaseValid(now))
        this->refuseQueued(Reason::NoCurrentView, now);
    else if (this->grants.empty())
        this->refuseQueued(Reason::NoHolder, now);
    else {
        this->dispatchWrites(now);
        this->dispatchReads(now);
        if (this->isRefusing && this->queued() == 0) {
            this->isRefusing = false;
            this->report(ProxyEventKind::RefusalsEnded);
        }
        if (this->readIndex.isDue(now)) {
            const std::uint64_t probeId = this->hooks.nextProbeId();
            this->readIndex.startRound(probeId, now);
            this->pool.probeAll(probeId);
        }
    }
}

void GroupHolder::admit(PendingRequest &pending, TimePoint now)
{
    Duration retryAfter{0};
    const Reason refusal = this->refusalReason(pending, now, retryAfter);
    if (refusal != Reason::None) {
        this->reportRefusal(refusal);
        this->finish(pending, Outcome::NotRun, refusal, now, retryAfter);
        return;
    }
    AdmissionQueue &queue = this->queueOf(pending);
    const PushResult pushed =
        queue.push({pending.ticket, pending.request.caller, pending.deadline});
    const Duration wait = queue.expectedWait(pending.request.caller, this->slotsFor(pending));
    if (pushed.evicted)
        this->finish(this->pendingRequests.at(*pushed.evicted), Outcome::NotRun, Reason::Overloaded,
                     now, wait);
    if (!pushed.accepted || pushed.evicted)
        this->reportRefusal(Reason::Overloaded);
    if (!pushed.accepted) {
        this->finish(pending, Outcome::NotRun, Reason::Overloaded, now, wait);
        return;
    }
    if (pending.isRead() && pending.request.consistency == Consistency::Latest)
        this->readIndex.requestRound();
}

void GroupHolder::reportRefusal(Reason reason)
{
    if (!this->isRefusing)
        this->report(ProxyEventKind::RequestRefused, {}, reason);
    this->isRefusing = true;
}

Reason GroupHolder::refusalReason(const PendingRequest &pending, TimePoint now,
                                  Duration &retryAfter) const
{
    const Duration wait =
        this->queueOf(pending).expectedWait(pending.request.caller, this->slotsFor(pending));
    if (now + wait >= pending.deadline) {
        retryAfter = wait;
        return Reason::Overloaded;
    }
    if (pending.request.kind != RequestKind::Write && pending.request.kind != RequestKind::Begin)
        return Reason::None;
    const Duration lag = this->confirmation.replicationLag(now);
    const bool isFull = this->confirmation.pendingCount() >= this->settings.unconfirmedLimit;
    if (!isFull && now + lag < pending.deadline)
        return Reason::None;
    retryAfter = lag;
    return Reason::ReplicationSlow;
}

void GroupHolder::joinTransaction(PendingRequest &pending, TimePoint now)
{
    const RequestKey key = pending.transactionKey();
    OpenTransaction *open = this->transactions.find(key);
    if (open == nullptr) {
        this->finish(pending, Outcome::NotRun, Reason::TransactionEnded, now);
        return;
    }
    if (open->entryProxy != pending.entryProxy) {
        this->finish(pending, Outcome::NotRun, Reason::TransactionElsewhere, now);
        return;
    }
    if (open->waiting.size() >= MaxWaitingInTransaction) {
        this->finish(pending, Outcome::NotRun, Reason::Overloaded, now);
        return;
    }
    open->waiting.push_back(pending.ticket);
    this->runNextStatement(key, now);
}

void GroupHolder::dispatchWrites(TimePoint now)
{
    const TargetId &primary = this->view.primary;
    const auto isReady = [&](Ticket ticket) {
        const PendingRequest &pending = this->pendingRequests.at(ticket);
        this->wakeAt =
            pending.notBefore > now ? std::min(this->wakeAt, pending.notBefore) : this->wakeAt;
        return pending.notBefore <= now;
    };
    while (!this->view.writesHeld && this->pool.hasServingPrimary(this->view)
           && this->pool.canAcquire(primary, now)) {
        const auto ticket = this->writes.take(isReady);
        if (!ticket)
            return;
        PendingRequest &pending = this->pendingRequests.at(*ticket);
        const auto generation = this->pool.acquire(primary, now);
        if (!this->start(pending, *generation, this->view.term, LogPosition{}, now))
            return;
        this->planner.writeStarted();
    }
}

void GroupHolder::dispatchReads(TimePoint now)
{
    ReadPlan plan;
    const auto isReady = [&](Ticket ticket) {
        plan = this->planner.plan(this->pendingRequests.at(ticket), this->view, this->pool,
                                  !this->writes.empty(), now);
        if (plan.needsRound)
            this->readIndex.requestRound();
        this->wakeAt = std::min(this->wakeAt, plan.replanAt);
        return plan.target.has_value();
    };
    while (this->pool.slots().totalFree() > 0) {
        const auto ticket = this->reads.take(isReady);
        if (!ticket)
            return;
        PendingRequest &pending = this->pendingRequests.at(*ticket);
        const auto generation = this->pool.acquire(*plan.target, now);
        const std::uint64_t term = plan.isFallback ? this->view.term : 0;
        if (!this->start(pending, *generation, term, plan.minimum, now))
            return;
        pending.isFallback = plan.isFallback;
        this->planner.readStarted(plan);
    }
}

void GroupHolder::refuseQueued(Reason reason, TimePoint now)
{
    const auto any = [](Ticket) {
        return true;
    };
    while (const auto ticket = this->writes.take(any))
        this->finish(this->pendingRequests.at(*ticket), Outcome::NotRun, reason, now);
    while (const auto ticket = this->reads.take(any))
        this->finish(this->pendingRequests.at(*ticket), Outcome::NotRun, reason, now);
}

bool GroupHolder::start(PendingRequest &pending, Generation generation, std::uint64_t term,
                        const LogPosition &minimum, TimePoint now)
{
    const Statement statement = makeStatement(pending, generation, term, minimum, now);
    if (!this->pool.send(generation, statement, now)) {
        this->pool.discard(generation);
        this->requeue(pending);
        return false;
    }
    pending.stage = RequestStage::Running;
    pending.generation = generation;
    pending.term = this->view.term;
    pending.sentAt = now;
    ++pending.attempts;
    this->running[generation] = pending.ticket;
    return true;
}

void GroupHolder::runNextStatement(const RequestKey &key, TimePoint now)
{
    OpenTransaction *open = this->transactions.find(key);
    if (open == nullptr || open->running != 0 || open->waiting.empty())
        return;
    PendingRequest &pending = this->pendingRequests.at(open->waiting.front());
    const Statement statement =
        makeStatement(pending, open->generation, open->term, LogPosition{}, now);
    if (!this->pool.send(open->generation, statement, now)) {
        this->abortTransaction(key, now);
        return;
    }
    open->waiting.pop_front();
    open->running = pending.ticket;
    open->idleUntil = TimePoint::max();
    pending.stage = RequestStage::Running;
    pending.generation = open->generation;
    pending.term = open->term;
    pending.sentAt = now;
    this->running[open->generation] = pending.ticket;
}

void GroupHolder::expire(TimePoint now)
{
    for (AdmissionQueue *queue : {&this->reads, &this->writes}) {
        const Duration allowance = std::min(queue->meanServiceTime(), MaxStartAllowance);
        for (const Ticket ticket : queue->takeExpired(now + allowance))
            this->expireRequest(this->pendingRequests.at(ticket), now);
    }
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
        this->expireRequest(this->pendingRequests.at(this->deadlines.begin()->second), now);
    for (const RequestKey &key : this->transactions.expired(now))
        this->abortTransaction(key, now);
}

void GroupHolder::expireRequest(PendingRequest &pending, TimePoint now)
{
    if (pending.stage == RequestStage::Confirming) {
        this->confirmation.remove(pending.ticket);
        this->finish(pending, Outcome::OutcomeUnknown, Reason::NotConfirmed, now);
        return;
    }
    if (pending.stage == RequestStage::Queued) {
        const bool lacksPrimary = !pending.isRead() && !this->pool.hasServingPrimary(this->view);
        this->finish(pending, Outcome::NotRun,
                     lacksPrimary ? Reason::NoPrimary : Reason::DeadlinePassed, now);
        return;
    }
    // The connection is discarded: its late reply must not be taken for that of another statement.
    if (pending.isInTransaction()) {
        this->abortTransaction(pending.transactionKey(), now);
        return;
    }
    this->running.erase(pending.generation);
    this->pool.discard(pending.generation);
    const bool isBegin = pending.request.kind == RequestKind::Begin;
    this->finish(pending, isBegin ? Outcome::NotRun : Outcome::OutcomeUnknown,
                 Reason::DeadlinePassed, now);
}

void GroupHolder::finish(PendingRequest &pending, Outcome outcome, Reason reason, TimePoint now,
                         Duration retryAfter)
{
    CallerAnswer answer = makeAnswer(pending.request, outcome, reason);
    answer.retryAfter = retryAfter;
    this->finish(pending, std::move(answer), now);
}

void GroupHolder::finish(PendingRequest &pending, CallerAnswer answer, TimePoint)
{
    replaceUnprovenNotRun(answer, pending.mayHaveRun);
    this->queueOf(pending).remove(pending.ticket);
    if (OpenTransaction *open = this->transactions.find(pending.transactionKey())) {
        auto &waiting = open->waiting;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), pending.ticket), waiting.end());
        if (open->running == pending.ticket)
            open->running = 0;
    }
    if (pending.isFallback)
        this->planner.fallbackEnded();
    ForwardAnswer message;
    message.forwardId = pending.forwardId;
    message.answer = std::move(answer);
    message.queued = static_cast<std::uint32_t>(this->queued());
    message.slotsFree = this->pool.slots().totalFree();
    const InstanceId entryProxy = pending.entryProxy;
    this->deadlines.erase({pending.deadline, pending.ticket});
    this->pendingRequests.erase(pending.ticket);
    this->hooks.answer(entryProxy, message);
}

void GroupHolder::report(ProxyEventKind kind, const RequestKey &request, Reason reason)
{
    ProxyEvent event;
    event.kind = kind;
    event.group = this->view.group;
    event.request = request;
    event.reason = reason;
    this->hooks.targets.event(event);
}

AdmissionQueue &GroupHolder::queueOf(const PendingRequest &pending)
{
    return pending.isRead() ? this->reads : this->writes;
}

const AdmissionQueue &GroupHolder::queueOf(const PendingRequest &pending) const
{
    return pending.isRead() ? this->reads : this->writes;
}

std::size_t GroupHolder::slotsFor(const PendingRequest &pending) const
{
    const std::uint32_t primarySlots = this->pool.slots().limit(this->view.primary);
    if (!pending.isRead())
        return primarySlots;
    return std::max<std::size_t>(1, this->pool.slots().totalLimit() - primarySlots);
}

} // namespace rhubarbweir
