// See request_router.hpp. Admission and sessions are in internal/request_router_admission.cpp.
#include "rhubarbweir/coordination/proxy/request_router.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr Duration BackoffBase = std::chrono::milliseconds(5);
constexpr Duration BackoffCap = std::chrono::milliseconds(200);
constexpr std::uint32_t MaxAttempts = 16;

// Whether another holder may accept a request that one holder refused for `reason`.
bool isRetriable(Reason reason)
{
    switch (reason) {
    case Reason::NoCurrentView:
    case Reason::NoHolder:
    case Reason::HolderUnreachable:
    case Reason::UnknownGroup:
    case Reason::Draining:
        return true;
    default:
        return false;
    }
}

bool belongsToTransaction(const CallerRequest &request)
{
    return request.transaction != 0 && request.kind != RequestKind::Begin
           && request.kind != RequestKind::AskOutcome;
}

bool isRepeatable(const CallerRequest &request)
{
    if (belongsToTransaction(request))
        return false;
    return request.kind == RequestKind::Read || request.kind == RequestKind::AskOutcome
           || (request.kind == RequestKind::Write && request.repeatable);
}

} // namespace

RequestRouter::RequestRouter(const ProxySettings &givenSettings, RequestRouterHooks givenHooks,
                             std::mt19937_64 &givenRandom)
    : settings(givenSettings)
    , hooks(std::move(givenHooks))
    , random(givenRandom)
    , view(std::make_shared<ProxyView>())
    , holderSelector(givenSettings.instance)
    , retryBudget(givenSettings.retryShare)
{
}

void RequestRouter::holderAnswered(const InstanceId &holder, const ForwardAnswer &message,
                                   TimePoint now)
{
    const HolderLoad load{message.queued, message.slotsFree};
    this->holderSelector.updateLoad(message.answer.group, holder, load);
    const auto forward = this->forwards.find(message.forwardId);
    // The answer to a forward that timed out is ignored.
    if (forward == this->forwards.end())
        return;
    const RequestKey key = forward->second;
    const RoutedRequest &routed = this->requests.at(key);
    const bool isOwn = routed.holder == holder && message.answer.session == key.session
                       && message.answer.requestId == key.request;
    if (isOwn)
        this->handleAnswer(key, message.answer, now);
}

void RequestRouter::peerConnected(const InstanceId &peer)
{
    this->holderSelector.setReachable(peer, true);
}

void RequestRouter::peerLost(const InstanceId &peer, TimePoint now)
{
    this->holderSelector.setReachable(peer, false);
    for (auto &[key, transaction] : this->transactions) {
        if (transaction.holder == peer)
            transaction.hasEnded = true;
    }
    std::vector<RequestKey> lost;
    for (const auto &[id, key] : this->forwards) {
        if (this->requests.at(key).holder == peer)
            lost.push_back(key);
    }
    for (const RequestKey &key : lost)
        this->handleForwardLost(key, now);
}

void RequestRouter::advance(TimePoint now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
        this->expire(RequestKey(this->deadlines.begin()->second), now);
    while (!this->wakeups.empty() && this->wakeups.begin()->first <= now) {
        const RequestKey key = this->wakeups.begin()->second;
        RoutedRequest &routed = this->requests.at(key);
        this->setWakeTime(key, routed, TimePoint::max());
        if (routed.forwardId == 0)
            this->send(key, now);
        else if (this->retryBudget.tryTake())
            this->handleForwardLost(key, now);
    }
    for (auto each = this->transactions.begin(); each != this->transactions.end();)
        each = each->second.deadline <= now ? this->transactions.erase(each) : std::next(each);
}

bool RequestRouter::isIdle() const
{
    const bool isOpen = std::any_of(this->transactions.begin(), this->transactions.end(),
                                    [](const auto &each) { return !each.second.hasEnded; });
    return this->requests.empty() && !isOpen;
}

TimePoint RequestRouter::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    if (!this->deadlines.empty())
        next = std::min(next, this->deadlines.begin()->first);
    if (!this->wakeups.empty())
        next = std::min(next, this->wakeups.begin()->first);
    for (const auto &[key, transaction] : this->transactions)
        next = std::min(next, transaction.deadline);
    return next;
}

void RequestRouter::send(const RequestKey &key, TimePoint now)
{
    RoutedRequest &routed = this->requests.at(key);
    const GroupView *group = this->groupOf(routed.request);
    if (group == nullptr || now >= this->leaseEnd) {
        routed.lastReason = group == nullptr ? Reason::UnknownGroup : Reason::NoCurrentView;
        this->scheduleRetry(routed, now);
        return;
    }
    if (belongsToTransaction(routed.request) && !routed.asksOutcome) {
        const InstanceId &holder =
            this->transactions.at({routed.request.session, routed.request.transaction}).holder;
        HolderView pinned;
        pinned.proxy = holder;
        for (const HolderView &each : group->holders) {
            if (each.proxy == holder)
                pinned.address = each.address;
        }
        this->sendTo(routed, pinned, now);
        return;
    }
    const HolderView *holder = this->holderSelector.choose(*group, routed.refusedBy, this->random);
    if (holder == nullptr) {
        routed.refusedBy.clear();
        this->scheduleRetry(routed, now);
        return;
    }
    this->sendTo(routed, *holder, now);
}

void RequestRouter::sendTo(RoutedRequest &routed, const HolderView &holder, TimePoint now)
{
    const RequestKey key = keyOf(routed.request);
    const bool isLocal = holder.proxy == this->settings.instance;
    ForwardRequest message;
    message.forwardId = ++this->lastForward;
    message.request = routed.request;
    const Duration left = std::chrono::duration_cast<Duration>(routed.deadline - now);
    const Duration allowance = isLocal ? Duration{0} : this->settings.hopAllowance;
    message.request.timeLeft = std::max(Duration{0}, left - allowance);
    if (routed.asksOutcome) {
        message.request.kind = RequestKind::AskOutcome;
        message.request.askedRequestId = routed.request.requestId;
    }
    routed.forwardId = message.forwardId;
    routed.holder = holder.proxy;
    ++routed.attempts;
    this->forwards[message.forwardId] = key;
    this->holderSelector.requestSent(routed.request.group, holder.proxy);
    if (!isLocal)
        ++this->totals.forwards;
    if (!isLocal && (isRepeatable(routed.request) || routed.asksOutcome))
        this->setWakeTime(key, routed, now + this->settings.forwardTimeout);
    this->hooks.sendHolder(holder.proxy, holder.address, message);
}

void RequestRouter::handleAnswer(const RequestKey &key, CallerAnswer answer, TimePoint now)
{
    RoutedRequest &routed = this->requests.at(key);
    this->forwards.erase(routed.forwardId);
    this->holderSelector.requestEnded(routed.request.group, routed.holder);
    routed.forwardId = 0;
    this->setWakeTime(key, routed, TimePoint::max());
    const bool isNotRun = answer.outcome == Outcome::NotRun && answer.reason != Reason::Sealed;
    const bool isPinned = belongsToTransaction(routed.request) && !routed.asksOutcome;
    // NotRun from an outcome query, or after an attempt that may have run, leaves the outcome open.
    const bool isOpen = isNotRun && (routed.asksOutcome || routed.mayHaveRun);
    if (!isPinned && isNotRun && (isOpen || isRetriable(answer.reason))) {
        routed.lastReason = answer.reason;
        if (isOpen && !isRepeatable(routed.request))
            routed.asksOutcome = true;
        routed.refusedBy.insert(routed.holder);
        this->scheduleRetry(routed, now);
        return;
    }
    this->updateTransaction(routed, answer, now);
    this->finish(key, std::move(answer));
}

void RequestRouter::handleForwardLost(const RequestKey &key, TimePoint now)
{
    RoutedRequest &routed = this->requests.at(key);
    this->forwards.erase(routed.forwardId);
    this->holderSelector.requestEnded(routed.request.group, routed.holder);
    routed.forwardId = 0;
    this->setWakeTime(key, routed, TimePoint::max());
    routed.refusedBy.insert(routed.holder);
    routed.lastReason = Reason::HolderUnreachable;
    const RequestKind kind = routed.request.kind;
    if (kind == RequestKind::Begin) {
        // The caller cannot use a transaction whose Begin was not answered, so the holder aborts
        // it.
        EndTransaction message{routed.request.group, key.session, key.request};
        this->hooks.sendHolder(routed.holder, std::string(), message);
        this->finish(key, Outcome::NotRun, Reason::HolderUnreachable);
        return;
    }
    if (belongsToTransaction(routed.request) && kind != RequestKind::Commit) {
        // The transaction is aborted before its commit, so the statement has no effect.
        this->endTransaction({key.session, routed.request.transaction});
        this->finish(key, Outcome::NotRun, Reason::TransactionEnded);
        return;
    }
    routed.mayHaveRun = true;
    if (!isRepeatable(routed.request)) {
        routed.asksOutcome = true;
        ProxyEvent event;
        event.kind = ProxyEventKind::OutcomeAsked;
        event.group = routed.request.group;
        event.request = key;
        event.reason = Reason::HolderUnreachable;
        this->hooks.event(event);
    }
    this->scheduleRetry(routed, now);
}

void RequestRouter::scheduleRetry(RoutedRequest &routed, TimePoint now)
{
    const RequestKey key = keyOf(routed.request);
    const bool mayRetry =
        routed.attempts < MaxAttempts && (routed.attempts == 0 || this->retryBudget.tryTake());
    if (!mayRetry) {
        this->finish(key, Outcome::NotRun, routed.lastReason);
        return;
    }
    if (routed.attempts > 0)
        ++this->totals.retries;
    const Duration pause =
        jitteredBackoff(BackoffBase, BackoffCap, routed.backoffs++, this->random);
    this->setWakeTime(key, routed, now + pause);
}

void RequestRouter::expire(const RequestKey &key, TimePoint now)
{
    RoutedRequest &routed = this->requests.at(key);
    if (routed.forwardId == 0) {
        this->finish(key, Outcome::NotRun, routed.lastReason);
        return;
    }
    this->forwards.erase(routed.forwardId);
    this->holderSelector.requestEnded(routed.request.group, routed.holder);
    const RequestKind kind = routed.request.kind;
    const bool endsTransaction =
        kind == RequestKind::Begin
        || (belongsToTransaction(routed.request) && kind != RequestKind::Commit);
    if (!endsTransaction) {
        this->finish(key, Outcome::OutcomeUnknown, Reason::DeadlinePassed);
        return;
    }
    const RequestKey transaction{
        key.session, kind == RequestKind::Begin ? key.request : routed.request.transaction};
    if (kind == RequestKind::Begin)
        this->transactions[transaction] = {routed.connection, routed.request.group, routed.holder,
                                           now, false};
    this->endTransaction(transaction);
    this->finish(key, Outcome::NotRun, Reason::DeadlinePassed);
}

void RequestRouter::updateTransaction(const RoutedRequest &routed, const CallerAnswer &answer,
                                      TimePoint now)
{
    const CallerRequest &request = routed.request;
    const bool isOk = answer.outcome == Outcome::Ok;
    if (request.kind == RequestKind::Begin && isOk) {
        const TimePoint deadline = now + this->settings.transactionLimit;
        this->transactions[keyOf(request)] = {routed.connection, request.group, routed.holder,
                                              deadline, false};
        if (this->sessions.count(routed.connection) == 0)
            this->endTransaction(keyOf(request));
        return;
    }
    if (!belongsToTransaction(request))
        return;
    const bool isLast =
        request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback;
    const auto open = this->transactions.find({request.session, request.transaction});
    if (open == this->transactions.end())
        return;
    if (isLast && isOk)
        this->transactions.erase(open);
    else if (isLast || answer.reason == Reason::TransactionEnded)
        open->second.hasEnded = true;
}

void RequestRouter::endTransaction(const RequestKey &key)
{
    const auto found = this->transactions.find(key);
    if (found == this->transactions.end() || found->second.hasEnded)
        return;
    found->second.hasEnded = true;
    EndTransaction message{found->second.group, key.session, key.request};
    this->hooks.sendHolder(found->second.holder, std::string(), message);
}

void RequestRouter::finish(const RequestKey &key, Outcome outcome, Reason reason)
{
    this->finish(key, makeAnswer(this->requests.at(key).request, outcome, reason));
}

void RequestRouter::finish(const RequestKey &key, CallerAnswer answer)
{
    RoutedRequest &routed = this->requests.at(key);
    replaceUnprovenNotRun(answer, routed.mayHaveRun);
    if (answer.outcome == Outcome::Ok) {
        this->retryBudget.succeeded();
        const bool isRead = routed.request.kind == RequestKind::Read;
        this->totals.replicaReads += isRead && answer.servedByReplica ? 1 : 0;
        this->totals.primaryReads += isRead && !answer.servedByReplica ? 1 : 0;
    }
    const CallerConnectionId connection = routed.connection;
    this->setWakeTime(key, routed, TimePoint::max());
    this->deadlines.erase({routed.deadline, key});
    this->requests.erase(key);
    this->count(answer);
    if (this->sessions.count(connection) > 0)
        this->hooks.answerCaller(connection, answer);
}

void RequestRouter::setWakeTime(const RequestKey &key, RoutedRequest &routed, TimePoint wakeAt)
{
    this->wakeups.erase({routed.wakeAt, key});
    routed.wakeAt = wakeAt;
    if (wakeAt != TimePoint::max())
        this->wakeups.emplace(wakeAt, key);
}

const GroupView *RequestRouter::groupOf(const CallerRequest &request) const
{
    const auto found = this->view->groups.find(request.group);
    return found == this->view->groups.end() ? nullptr : &found->second;
}

} // namespace rhubarbweir
