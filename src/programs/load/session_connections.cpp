// Connections of a session and the way of its requests. See session_driver.hpp.
#include "programs/load/session_driver.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds BackoffStart{20};
constexpr std::chrono::milliseconds BackoffLimit{1000};
constexpr std::uint32_t BackoffDoublings = 6;

} // namespace

CallerRequest SessionDriver::requestFor(const Operation &operation, RequestKind kind)
{
    CallerRequest request;
    request.caller = this->caller;
    request.kind = kind;
    request.group = operation.planned.group;
    request.transaction = operation.transaction;
    request.maxAge = this->run.workload.mix().maxAge;
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
    Pending entry;
    entry.request = std::move(request);
    entry.operation = operation;
    entry.link = std::move(link);
    entry.deadline = deadline;
    this->pending.emplace(id, std::move(entry));
    this->run.loop.schedule(deadline + this->run.settings.grace,
                            [self = this->shared_from_this(), id] { self->expire(id); });
    this->transmit(id);
}

// Sends a pending request if its connection is ready; opened() calls again otherwise.
void SessionDriver::transmit(std::uint64_t requestId)
{
    Pending &entry = this->pending.at(requestId);
    if (!entry.link) {
        if (!this->current)
            this->connect();
        entry.link = this->current;
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
            this->run.checker.expectRead(request.key, request.consistency, request.maxAge, now);
    }
    const bool changesData =
        request.kind == RequestKind::Write || request.kind == RequestKind::Commit;
    if (changesData)
        this->run.measurements.writeSent(request.group, now);
    entry.sent = true;
    entry.link->connection->send(request);
}

void SessionDriver::expire(std::uint64_t requestId)
{
    const auto found = this->pending.find(requestId);
    if (found == this->pending.end())
        return;
    const Pending entry = std::move(found->second);
    this->pending.erase(found);
    if (entry.sent) {
        this->run.checker.noteSilent();
        this->run.measurements.count("silent");
        // The proxy may be frozen.
        if (entry.link == this->current)
            this->moveToOtherProxy();
    } else {
        this->run.measurements.count("never_sent");
    }
    this->unanswered(entry, Reason::DeadlinePassed);
    this->retireIfIdle(entry.link);
}

void SessionDriver::connect()
{
    auto link = std::make_shared<SessionLink>();
    link->proxy = this->proxy;
    this->current = link;
    for (auto &[id, entry] : this->pending) {
        if (!entry.link)
            entry.link = link;
    }
    this->run.client.connect(
        this->run.settings.proxies[this->proxy], Subprotocol::Caller,
        EventLoop::now() + ConnectTimeout,
        [self = this->shared_from_this(), link](absl::StatusOr<ConnectionPtr> connection) {
            if (connection.ok())
                self->connected(link, *connection);
            else
                self->connectFailed(link);
        });
}

void SessionDriver::connected(const std::shared_ptr<SessionLink> &link,
                              const ConnectionPtr &connection)
{
    link->connection = connection;
    connection->onMessage = [self = this->shared_from_this(), link](const Message &message) {
        self->receive(link, message);
    };
    connection->onClosed = [self = this->shared_from_this(), link] {
        self->lost(link);
    };
    if (this->isClosing) {
        connection->close(CloseReason::Normal);
        return;
    }
    connection->send(OpenSession{this->caller, this->session, this->token});
}

void SessionDriver::connectFailed(const std::shared_ptr<SessionLink> &link)
{
    this->run.measurements.count("connect_failed");
    this->lost(link);
}

void SessionDriver::receive(const std::shared_ptr<SessionLink> &link, const Message &message)
{
    if (const auto *open = std::get_if<SessionOpened>(&message)) {
        this->opened(link, *open);
        return;
    }
    if (std::get_if<MoveSession>(&message)) {
        this->run.measurements.count("moved_by_proxy");
        if (link == this->current)
            this->moveToOtherProxy();
        return;
    }
    const auto *answer = std::get_if<CallerAnswer>(&message);
    if (!answer)
        return;
    const auto found = this->pending.find(answer->requestId);
    if (found == this->pending.end()) {
        // An answer after the grace is late; one to an id never used is somebody else's.
        if (answer->session != this->session || answer->requestId > this->lastRequestId)
            this->run.checker.noteAnswerToUnknownRequest();
        else
            this->run.measurements.count("late_answers");
        return;
    }
    if (!this->run.checker.isOwnAnswer(found->second.request, *answer))
        return;
    const Pending entry = std::move(found->second);
    this->pending.erase(found);
    for (const auto &[group, position] : answer->token.seen)
        this->token.observe(group, position);
    this->answered(entry, *answer);
    this->retireIfIdle(link);
}

void SessionDriver::opened(const std::shared_ptr<SessionLink> &link, const SessionOpened &message)
{
    link->isOpened = true;
    this->failedConnects = 0;
    if (this->session.empty()) {
        this->session = message.session;
        for (const GroupId &group : this->run.settings.groups)
            this->run.checker.addKeys(this->session, group, this->run.settings.keysPerGroup);
    }
    if (this->onOpened) {
        const Done callback = std::move(this->onOpened);
        this->onOpened = nullptr;
        callback();
    }
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, entry] : this->pending) {
        if (!entry.sent && entry.link == link)
            waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting)
        this->transmit(id);
    this->retireIfIdle(link);
}

void SessionDriver::lost(const std::shared_ptr<SessionLink> &link)
{
    if (link->isLost)
        return;
    link->isLost = true;
    link->isOpened = false;
    if (this->isClosing)
        return;
    if (!link->isRetiring)
        this->run.measurements.count("connection_lost");
    if (link == this->current) {
        this->current = nullptr;
        this->proxy = this->run.workload.pick(this->run.settings.proxies.size());
        const TimePoint retryAt = EventLoop::now() + this->backoff(++this->failedConnects);
        this->run.loop.schedule(retryAt, [self = this->shared_from_this()] {
            if (!self->current && !self->isClosing)
                self->connect();
        });
    }
    std::vector<Pending> unansweredRequests;
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        const bool isConcerned = entry->second.link == link;
        const bool canWait = !entry->second.sent && entry->second.request.transaction == 0;
        if (isConcerned && canWait)
            entry->second.link = this->current;
        if (!isConcerned || canWait) {
            ++entry;
            continue;
        }
        unansweredRequests.push_back(std::move(entry->second));
        entry = this->pending.erase(entry);
    }
    for (const Pending &entry : unansweredRequests)
        this->unanswered(entry, Reason::ConnectionLost);
}

void SessionDriver::moveToOtherProxy()
{
    const std::size_t count = this->run.settings.proxies.size();
    if (count > 1)
        this->proxy = (this->proxy + 1 + this->run.workload.pick(count - 1)) % count;
    const std::shared_ptr<SessionLink> old = this->current;
    this->connect();
    if (!old)
        return;
    old->isRetiring = true;
    for (auto &[id, entry] : this->pending) {
        if (!entry.sent && entry.link == old)
            entry.link = this->current;
    }
    this->retireIfIdle(old);
}

void SessionDriver::retireIfIdle(const std::shared_ptr<SessionLink> &link)
{
    if (!link || !link->isRetiring || !link->connection || link->transactions > 0)
        return;
    const bool isAwaited =
        std::any_of(this->pending.begin(), this->pending.end(),
                    [&link](const auto &entry) { return entry.second.link == link; });
    if (!isAwaited && !link->isLost)
        link->connection->close(CloseReason::Normal);
}

Duration SessionDriver::backoff(std::uint32_t attempts)
{
    const Duration full = std::min<Duration>(
        BackoffLimit, Duration(BackoffStart) * (1 << std::min(attempts, BackoffDoublings)));
    return Duration(static_cast<std::int64_t>(static_cast<double>(full.count())
                                              * (0.5 + 0.5 * this->run.workload.fraction())));
}

} // namespace rhubarbweir
