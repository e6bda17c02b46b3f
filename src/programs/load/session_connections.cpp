// Connections of a session and the transmission of its requests. See session_driver.hpp.
#include "programs/load/session_driver.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds InitialBackoff{20};
constexpr std::chrono::milliseconds MaxBackoff{1000};
constexpr std::uint32_t MaxBackoffDoublings = 6;

} // namespace

CallerRequest SessionDriver::requestFor(const Operation &operation, RequestKind kind)
{
    CallerRequest request;
    request.caller = this->caller;
    request.kind = kind;
    request.group = operation.planned.group;
    request.transaction = operation.transaction;
    request.maxAge = this->context.workload.mix().maxAge;
    request.key = operation.key;
    return request;
}

void SessionDriver::send(const OperationPtr &operation, CallerRequest request, TimePoint deadline,
                         std::shared_ptr<SessionLink> link)
{
    request.requestId = ++this->lastRequestId;
    request.session = this->session;
    const std::uint64_t id = request.requestId;
    operation->lastRequestId = id;
    PendingRequest entry;
    entry.request = std::move(request);
    entry.operation = operation;
    entry.link = std::move(link);
    entry.deadline = deadline;
    this->pending.emplace(id, std::move(entry));
    this->context.loop.schedule(deadline + this->context.settings.grace,
                                [self = this->shared_from_this(), id] { self->expire(id); });
    this->sendIfReady(id);
}

// Sends a pending request if its connection is open; handleSessionOpened() retries otherwise.
void SessionDriver::sendIfReady(std::uint64_t requestId)
{
    PendingRequest &entry = this->pending.at(requestId);
    if (!entry.link) {
        if (!this->currentLink)
            this->connect();
        entry.link = this->currentLink;
    }
    if (entry.sent || !entry.link->isOpened)
        return;
    const TimePoint now = EventLoop::now();
    if (now >= entry.deadline)
        return;
    CallerRequest &request = entry.request;
    request.token = this->token;
    request.timeLeft = std::chrono::duration_cast<Duration>(entry.deadline - now);
    const bool isRead = request.kind == RequestKind::Read;
    if (isRead) {
        entry.expectation =
            this->context.checker.expectRead(request.key, request.consistency, request.maxAge, now);
    }
    const bool changesData =
        request.kind == RequestKind::Write || request.kind == RequestKind::Commit;
    if (changesData)
        this->context.measurements.writeSent(request.group, now);
    entry.sent = true;
    entry.link->connection->send(request);
}

void SessionDriver::expire(std::uint64_t requestId)
{
    const auto found = this->pending.find(requestId);
    if (found == this->pending.end())
        return;
    const PendingRequest entry = std::move(found->second);
    this->pending.erase(found);
    if (entry.sent) {
        this->context.checker.recordMissingAnswer();
        this->context.measurements.count("silent");
        // The proxy may hang.
        if (entry.link == this->currentLink)
            this->moveToOtherProxy();
    } else {
        this->context.measurements.count("never_sent");
    }
    this->handleNoAnswer(entry, Reason::DeadlinePassed);
    this->closeIfDrained(entry.link);
}

void SessionDriver::connect()
{
    auto link = std::make_shared<SessionLink>();
    link->proxy = this->proxy;
    this->currentLink = link;
    for (auto &[id, entry] : this->pending) {
        if (!entry.link)
            entry.link = link;
    }
    this->context.client.connect(
        this->context.settings.proxies[this->proxy], Subprotocol::Caller,
        EventLoop::now() + ConnectTimeout,
        [self = this->shared_from_this(), link](absl::StatusOr<ConnectionPtr> connection) {
            if (connection.ok())
                self->handleConnected(link, *connection);
            else
                self->handleConnectFailed(link);
        });
}

void SessionDriver::handleConnected(const std::shared_ptr<SessionLink> &link,
                                    const ConnectionPtr &connection)
{
    link->connection = connection;
    connection->onMessage = [self = this->shared_from_this(), link](const Message &message) {
        self->receive(link, message);
    };
    connection->onClosed = [self = this->shared_from_this(), link] {
        self->handleConnectionLost(link);
    };
    if (this->isClosing) {
        connection->close(CloseReason::Normal);
        return;
    }
    connection->send(OpenSession{this->caller, this->session, this->token});
}

void SessionDriver::handleConnectFailed(const std::shared_ptr<SessionLink> &link)
{
    this->context.measurements.count("connect_failed");
    this->handleConnectionLost(link);
}

void SessionDriver::receive(const std::shared_ptr<SessionLink> &link, const Message &message)
{
    if (const auto *open = std::get_if<SessionOpened>(&message)) {
        this->handleSessionOpened(link, *open);
        return;
    }
    if (std::get_if<MoveSession>(&message)) {
        this->context.measurements.count("moved_by_proxy");
        if (link == this->currentLink)
            this->moveToOtherProxy();
        return;
    }
    const auto *answer = std::get_if<CallerAnswer>(&message);
    if (!answer)
        return;
    const auto found = this->pending.find(answer->requestId);
    if (found == this->pending.end()) {
        // An answer after the grace period is late; one to an id that was never used belongs to
        // another session.
        if (answer->session != this->session || answer->requestId > this->lastRequestId)
            this->context.checker.recordAnswerToUnknownRequest();
        else
            this->context.measurements.count("late_answers");
        return;
    }
    if (!this->context.checker.checkAnswerMatches(found->second.request, *answer))
        return;
    const PendingRequest entry = std::move(found->second);
    this->pending.erase(found);
    for (const auto &[group, position] : answer->token.seen)
        this->token.observe(group, position);
    this->handleAnswer(entry, *answer);
    this->closeIfDrained(link);
}

void SessionDriver::handleSessionOpened(const std::shared_ptr<SessionLink> &link,
                                        const SessionOpened &message)
{
    link->isOpened = true;
    this->failedConnects = 0;
    if (this->session.empty()) {
        this->session = message.session;
        for (const GroupId &group : this->context.settings.groups)
            this->context.checker.addKeys(this->session, group,
                                          this->context.settings.keysPerGroup);
    }
    if (this->onOpened) {
        const DoneCallback callback = std::move(this->onOpened);
        this->onOpened = nullptr;
        callback();
    }
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, entry] : this->pending) {
        if (!entry.sent && entry.link == link)
            waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting)
        this->sendIfReady(id);
    this->closeIfDrained(link);
}

void SessionDriver::handleConnectionLost(const std::shared_ptr<SessionLink> &link)
{
    if (link->isLost)
        return;
    link->isLost = true;
    link->isOpened = false;
    if (this->isClosing)
        return;
    if (!link->isDraining)
        this->context.measurements.count("connection_lost");
    if (link == this->currentLink) {
        this->currentLink = nullptr;
        this->proxy = this->context.workload.pickIndex(this->context.settings.proxies.size());
        const TimePoint retryAt = EventLoop::now() + this->backoff(++this->failedConnects);
        this->context.loop.schedule(retryAt, [self = this->shared_from_this()] {
            if (!self->currentLink && !self->isClosing)
                self->connect();
        });
    }
    std::vector<PendingRequest> failedRequests;
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        const bool usesLink = entry->second.link == link;
        const bool canWait = !entry->second.sent && entry->second.request.transaction == 0;
        if (usesLink && canWait)
            entry->second.link = this->currentLink;
        if (!usesLink || canWait) {
            ++entry;
            continue;
        }
        failedRequests.push_back(std::move(entry->second));
        entry = this->pending.erase(entry);
    }
    for (const PendingRequest &entry : failedRequests)
        this->handleNoAnswer(entry, Reason::ConnectionLost);
}

void SessionDriver::moveToOtherProxy()
{
    const std::size_t count = this->context.settings.proxies.size();
    if (count > 1)
        this->proxy = (this->proxy + 1 + this->context.workload.pickIndex(count - 1)) % count;
    const std::shared_ptr<SessionLink> old = this->currentLink;
    this->connect();
    if (!old)
        return;
    old->isDraining = true;
    for (auto &[id, entry] : this->pending) {
        if (!entry.sent && entry.link == old)
            entry.link = this->currentLink;
    }
    this->closeIfDrained(old);
}

void SessionDriver::closeIfDrained(const std::shared_ptr<SessionLink> &link)
{
    if (!link || !link->isDraining || !link->connection || link->transactions > 0)
        return;
    const bool hasPendingRequest =
        std::any_of(this->pending.begin(), this->pending.end(),
                    [&link](const auto &entry) { return entry.second.link == link; });
    if (!hasPendingRequest && !link->isLost)
        link->connection->close(CloseReason::Normal);
}

Duration SessionDriver::backoff(std::uint32_t attempts)
{
    const Duration full = std::min<Duration>(
        MaxBackoff, Duration(InitialBackoff) * (1 << std::min(attempts, MaxBackoffDoublings)));
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(full.count()) * (0.5 + 0.5 * this->context.workload.randomFraction())));
}

} // namespace rhubarbweir
