// See group_holder.hpp. Replies are handled in internal/group_holder_replies.cpp.
#include "rhubarbweir/coordination/proxy/group_holder.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::uint32_t DefaultQueueLimit = 128;
// Work that has less time left than a statement takes, up to this, is not started.
constexpr Duration MaxStartAllowance = std::chrono::milliseconds(10);
constexpr std::size_t MaxWaitingInTransaction = 16;

std::size_t slotsOf(const std::vector<TargetGrant> &grants)
{
    std::size_t slots = 0;
    for (const TargetGrant &grant : grants)
        slots += grant.slots;
    return slots;
}

// This holder's part of the group's queue, by its part of the slots: then full queues are
// equally long in time, and no holder attracts more than it can serve.
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
    this->leaveTerm(now);
    this->settle(now);
}

void GroupHolder::setLease(TimePoint deadline, TimePoint now)
{
    this->pool.setLease(deadline, now);
    this->settle(now);
}

void GroupHolder::forward(const InstanceId &entry, const ForwardRequest &message, TimePoint now)
{
    const Ticket ticket = ++this->lastTicket;
    HolderWork &work = this->works[ticket];
    work.ticket = ticket;
    work.entry = entry;
    work.forwardId = message.forwardId;
    work.request = message.request;
    work.arrivedAt = now;
    work.deadline = now + std::min(message.request.timeLeft, this->settings.longestDeadline);
    work.asksOutcome = message.request.kind == RequestKind::AskOutcome;
    this->deadlines.emplace(work.deadline, ticket);
    if (!this->pool.leaseHolds(now))
        this->finish(work, Outcome::NotRun, Reason::NoCurrentView, now);
    else if (work.isInTransaction())
        this->joinTransaction(work, now);
    else if (this->grants.empty())
        this->finish(work, Outcome::NotRun, Reason::NoHolder, now);
    else
        this->admit(work, now);
    this->settle(now);
}

void GroupHolder::endTransaction(const EndTransaction &message, TimePoint now)
{
    const RequestKey key{message.session, message.transaction};
    std::vector<Ticket> begins;
    for (const auto &[ticket, work] : this->works) {
        if (work.request.kind == RequestKind::Begin && keyOf(work.request) == key)
            begins.push_back(ticket);
    }
    for (const Ticket ticket : begins) {
        HolderWork &work = this->works.at(ticket);
        if (work.stage == WorkStage::Running) {
            this->running.erase(work.generation);
            this->pool.discard(work.generation);
        }
        this->finish(work, Outcome::NotRun, Reason::TransactionEnded, now);
    }
    const OpenTransaction *open = this->transactions.find(key);
    const auto current = open == nullptr ? this->works.end() : this->works.find(open->running);
    const bool commits =
        current != this->works.end() && current->second.request.kind == RequestKind::Commit;
    // A commit that was sent decides for itself.
    if (open != nullptr && !commits)
        this->end(key, now);
    this->settle(now);
}

void GroupHolder::entryLost(const InstanceId &entry, TimePoint now)
{
    for (const RequestKey &key : this->transactions.begunThrough(entry)) {
        EndTransaction message;
        message.session = key.session;
        message.transaction = key.request;
        this->endTransaction(message, now);
    }
    std::vector<Ticket> queuedOnes;
    for (const auto &[ticket, work] : this->works) {
        const bool isQueued = work.stage == WorkStage::Queued && !work.isInTransaction();
        if (work.entry == entry && isQueued && !work.mayHaveRun)
            queuedOnes.push_back(ticket);
    }
    for (const Ticket ticket : queuedOnes)
        this->finish(this->works.at(ticket), Outcome::NotRun, Reason::HolderUnreachable, now);
    this->settle(now);
}

void GroupHolder::targetOpened(Generation generation, const ConnectionOpened &message,
                               TimePoint now)
{
    this->pool.opened(generation, message.status, now);
    this->receiveStatus(message.status, now);
    this->settle(now);
}

void GroupHolder::targetRefused(Generation generation, OpenFailure failure, TimePoint now)
{
    this->pool.refused(generation, failure, now);
    this->settle(now);
}

void GroupHolder::targetMessage(Generation generation, const TargetMessage &message, TimePoint now)
{
    const TargetId *target = this->pool.targetOf(generation);
    // What a closed connection still delivers belongs to nobody.
    if (target != nullptr) {
        if (const auto *status = std::get_if<TargetStatus>(&message))
            this->receiveStatus(*status, now);
        else
            this->reply(generation, std::get<StatementReply>(message), now);
    }
    this->settle(now);
}

void GroupHolder::targetClosed(Generation generation, TimePoint now)
{
    this->pool.closed(generation, now);
    this->settle(now);
}

void GroupHolder::advance(TimePoint now)
{
    this->settle(now);
}

TimePoint GroupHolder::nextDeadline() const
{
    const TimePoint now = this->lastSettled;
    TimePoint next =
        std::min({this->pool.nextDeadline(now), this->transactions.nextDeadline(), this->wakeAt});
    if (!this->deadlines.empty())
        next = std::min(next, this->deadlines.begin()->first);
    if (this->pool.leaseHolds(now) && this->holdsGrants())
        next = std::min(next, this->readIndex.nextDeadline());
    return next;
}

void GroupHolder::settle(TimePoint now)
{
    this->lastSettled = now;
    this->wakeAt = TimePoint::max();
    this->pool.maintain(now);
    for (const Generation generation : this->pool.takeLost())
        this->connectionLost(generation, now);
    this->completeRound(now);
    this->confirm(now);
    this->expire(now);
    if (!this->pool.leaseHolds(now))
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
            this->readIndex.start(probeId, now);
            this->pool.probeAll(probeId);
        }
    }
}

void GroupHolder::admit(HolderWork &work, TimePoint now)
{
    Duration retryAfter{0};
    const Reason refusal = this->refusalOf(work, now, retryAfter);
    if (refusal != Reason::None) {
        this->noteRefusal(refusal);
        this->finish(work, Outcome::NotRun, refusal, now, retryAfter);
        return;
    }
    AdmissionQueue &queue = this->queueOf(work);
    const PushResult pushed = queue.push({work.ticket, work.request.caller, work.deadline});
    const Duration wait = queue.expectedWait(work.request.caller, this->slotsFor(work));
    if (pushed.evicted)
        this->finish(this->works.at(*pushed.evicted), Outcome::NotRun, Reason::Overloaded, now,
                     wait);
    if (!pushed.accepted || pushed.evicted)
        this->noteRefusal(Reason::Overloaded);
    if (!pushed.accepted) {
        this->finish(work, Outcome::NotRun, Reason::Overloaded, now, wait);
        return;
    }
    if (work.isRead() && work.request.consistency == Consistency::Latest)
        this->readIndex.want();
}

void GroupHolder::noteRefusal(Reason reason)
{
    if (!this->isRefusing)
        this->report(ProxyEventKind::RequestRefused, {}, reason);
    this->isRefusing = true;
}

Reason GroupHolder::refusalOf(const HolderWork &work, TimePoint now, Duration &retryAfter) const
{
    const Duration wait =
        this->queueOf(work).expectedWait(work.request.caller, this->slotsFor(work));
    if (now + wait >= work.deadline) {
        retryAfter = wait;
        return Reason::Overloaded;
    }
    if (work.request.kind != RequestKind::Write && work.request.kind != RequestKind::Begin)
        return Reason::None;
    const Duration lag = this->confirmation.lag(now);
    const bool isFull = this->confirmation.pending() >= this->settings.unconfirmedLimit;
    if (!isFull && now + lag < work.deadline)
        return Reason::None;
    retryAfter = lag;
    return Reason::ReplicationSlow;
}

void GroupHolder::joinTransaction(HolderWork &work, TimePoint now)
{
    const RequestKey key = work.transactionKey();
    OpenTransaction *open = this->transactions.find(key);
    if (open == nullptr) {
        this->finish(work, Outcome::NotRun, Reason::TransactionEnded, now);
        return;
    }
    if (open->entry != work.entry) {
        this->finish(work, Outcome::NotRun, Reason::TransactionElsewhere, now);
        return;
    }
    if (open->waiting.size() >= MaxWaitingInTransaction) {
        this->finish(work, Outcome::NotRun, Reason::Overloaded, now);
        return;
    }
    open->waiting.push_back(work.ticket);
    this->runNext(key, now);
}

void GroupHolder::dispatchWrites(TimePoint now)
{
    const TargetId &primary = this->view.primary;
    const auto isReady = [&](Ticket ticket) {
        const HolderWork &work = this->works.at(ticket);
        this->wakeAt = work.notBefore > now ? std::min(this->wakeAt, work.notBefore) : this->wakeAt;
        return work.notBefore <= now;
    };
    while (!this->view.writesHeld && this->pool.hasServingPrimary(this->view)
           && this->pool.canAcquire(primary, now)) {
        const auto ticket = this->writes.take(isReady);
        if (!ticket)
            return;
        HolderWork &work = this->works.at(*ticket);
        const auto generation = this->pool.acquire(primary, now);
        if (!this->start(work, *generation, this->view.term, LogPosition{}, now))
            return;
        this->planner.writeStarted();
    }
}

void GroupHolder::dispatchReads(TimePoint now)
{
    ReadPlan plan;
    const auto isReady = [&](Ticket ticket) {
        plan = this->planner.plan(this->works.at(ticket), this->view, this->pool,
                                  !this->writes.empty(), now);
        if (plan.needsRound)
            this->readIndex.want();
        this->wakeAt = std::min(this->wakeAt, plan.againAt);
        return plan.target.has_value();
    };
    while (this->pool.slots().totalFree() > 0) {
        const auto ticket = this->reads.take(isReady);
        if (!ticket)
            return;
        HolderWork &work = this->works.at(*ticket);
        const auto generation = this->pool.acquire(*plan.target, now);
        const std::uint64_t term = plan.isFallback ? this->view.term : 0;
        if (!this->start(work, *generation, term, plan.minimum, now))
            return;
        work.isFallback = plan.isFallback;
        this->planner.started(plan);
    }
}

void GroupHolder::refuseQueued(Reason reason, TimePoint now)
{
    const auto any = [](Ticket) {
        return true;
    };
    while (const auto ticket = this->writes.take(any))
        this->finish(this->works.at(*ticket), Outcome::NotRun, reason, now);
    while (const auto ticket = this->reads.take(any))
        this->finish(this->works.at(*ticket), Outcome::NotRun, reason, now);
}

bool GroupHolder::start(HolderWork &work, Generation generation, std::uint64_t term,
                        const LogPosition &minimum, TimePoint now)
{
    const Statement statement = makeStatement(work, generation, term, minimum, now);
    if (!this->pool.send(generation, statement, now)) {
        this->pool.discard(generation);
        this->requeue(work);
        return false;
    }
    work.stage = WorkStage::Running;
    work.generation = generation;
    work.term = this->view.term;
    work.sentAt = now;
    ++work.attempts;
    this->running[generation] = work.ticket;
    return true;
}

void GroupHolder::runNext(const RequestKey &key, TimePoint now)
{
    OpenTransaction *open = this->transactions.find(key);
    if (open == nullptr || open->running != 0 || open->waiting.empty())
        return;
    HolderWork &work = this->works.at(open->waiting.front());
    const Statement statement =
        makeStatement(work, open->generation, open->term, LogPosition{}, now);
    if (!this->pool.send(open->generation, statement, now)) {
        this->end(key, now);
        return;
    }
    open->waiting.pop_front();
    open->running = work.ticket;
    open->idleUntil = TimePoint::max();
    work.stage = WorkStage::Running;
    work.generation = open->generation;
    work.term = open->term;
    work.sentAt = now;
    this->running[open->generation] = work.ticket;
}

void GroupHolder::expire(TimePoint now)
{
    for (AdmissionQueue *queue : {&this->reads, &this->writes}) {
        const Duration allowance = std::min(queue->serviceTime(), MaxStartAllowance);
        for (const Ticket ticket : queue->takeExpired(now + allowance))
            this->expireWork(this->works.at(ticket), now);
    }
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
        this->expireWork(this->works.at(this->deadlines.begin()->second), now);
    for (const RequestKey &key : this->transactions.expired(now))
        this->end(key, now);
}

void GroupHolder::expireWork(HolderWork &work, TimePoint now)
{
    if (work.stage == WorkStage::Confirming) {
        this->confirmation.remove(work.ticket);
        this->finish(work, Outcome::OutcomeUnknown, Reason::NotConfirmed, now);
        return;
    }
    if (work.stage == WorkStage::Queued) {
        const bool lacksPrimary = !work.isRead() && !this->pool.hasServingPrimary(this->view);
        this->finish(work, Outcome::NotRun,
                     lacksPrimary ? Reason::NoPrimary : Reason::DeadlinePassed, now);
        return;
    }
    // A connection whose answer is late is never used again.
    if (work.isInTransaction()) {
        this->end(work.transactionKey(), now);
        return;
    }
    this->running.erase(work.generation);
    this->pool.discard(work.generation);
    const bool isBegin = work.request.kind == RequestKind::Begin;
    this->finish(work, isBegin ? Outcome::NotRun : Outcome::OutcomeUnknown, Reason::DeadlinePassed,
                 now);
}

void GroupHolder::finish(HolderWork &work, Outcome outcome, Reason reason, TimePoint now,
                         Duration retryAfter)
{
    CallerAnswer answer = makeAnswer(work.request, outcome, reason);
    answer.retryAfter = retryAfter;
    this->finish(work, std::move(answer), now);
}

void GroupHolder::finish(HolderWork &work, CallerAnswer answer, TimePoint)
{
    makeTruthful(answer, work.mayHaveRun);
    this->queueOf(work).remove(work.ticket);
    if (OpenTransaction *open = this->transactions.find(work.transactionKey())) {
        auto &waiting = open->waiting;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), work.ticket), waiting.end());
        if (open->running == work.ticket)
            open->running = 0;
    }
    if (work.isFallback)
        this->planner.fallbackEnded();
    ForwardAnswer message;
    message.forwardId = work.forwardId;
    message.answer = std::move(answer);
    message.queued = static_cast<std::uint32_t>(this->queued());
    message.slotsFree = this->pool.slots().totalFree();
    const InstanceId entry = work.entry;
    this->deadlines.erase({work.deadline, work.ticket});
    this->works.erase(work.ticket);
    this->hooks.answer(entry, message);
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

AdmissionQueue &GroupHolder::queueOf(const HolderWork &work)
{
    return work.isRead() ? this->reads : this->writes;
}

const AdmissionQueue &GroupHolder::queueOf(const HolderWork &work) const
{
    return work.isRead() ? this->reads : this->writes;
}

std::size_t GroupHolder::slotsFor(const HolderWork &work) const
{
    const std::uint32_t primarySlots = this->pool.slots().limit(this->view.primary);
    if (!work.isRead())
        return primarySlots;
    return std::max<std::size_t>(1, this->pool.slots().totalLimit() - primarySlots);
}

} // namespace rhubarbweir
