// See fleet_link.hpp.
#include "programs/pooler/fleet_link.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace rhubarbweir {

namespace {

// At most a tenth of a lease, so that it survives several lost renewals.
constexpr std::chrono::milliseconds RenewInterval{500};
// A control instance from which nothing was received for this long is replaced by another one.
constexpr std::chrono::milliseconds SilenceTimeout{1200};
// TCP retransmits a lost SYN after one second; a new attempt is quicker. Doubles with each failure,
// so that an instance that a crowd of poolers returns to can complete their handshakes.
constexpr std::chrono::milliseconds ConnectTimeout{250};
constexpr std::chrono::milliseconds MaxConnectTimeout{2000};
// Mean delay of a new attempt; doubles with each failure.
constexpr std::chrono::milliseconds ReconnectDelay{100};
constexpr std::chrono::milliseconds MaxReconnectDelay{800};
// An attempt that takes longer is joined by one at another instance: the first may be at an
// instance that is gone, or have begun in a partition that has ended since. Doubles with each
// failure. Two attempts in a row and a handshake take less than a change of configuration may.
constexpr std::chrono::milliseconds MaxAttemptInterval{500};

Duration doubled(Duration initial, unsigned times, Duration most)
{
    return std::min(most, initial * (1U << std::min(times, 6U)));
}
// A control instance that knows no leader is asked again after this delay, a fraction of an
// election, and replaced by another one after this many polls, because it may be partitioned.
constexpr std::chrono::milliseconds LeaderlessRetryDelay{40};
constexpr unsigned LeaderlessPolls = 8;
// In a fleet of more than 80 poolers both take longer, so that the polls and handshakes of a crowd
// that lost all control instances do not delay their election. At 300: 150 ms, and 600 ms for a
// handshake, which takes two round trips of 60 ms between regions and waits for those of the
// others.
constexpr std::chrono::microseconds RetryDelayPerPooler{500};
constexpr std::chrono::milliseconds ConnectTimePerPooler{2};
// Until the election begins, the other instances name a leader that has been left for its silence.
// They are asked this many times more, for about the rest of an election, before it is tried again.
constexpr unsigned DoubtfulPolls = 2;
// At least this many polls before an instance without a leader is replaced.
constexpr unsigned MinLeaderlessPolls = 2;

} // namespace

FleetLink::FleetLink(EventLoop &eventLoop, std::vector<std::string> seedAddresses,
                     FleetLinkHooks linkHooks)
    : loop(eventLoop)
    , client(eventLoop)
    , seeds(std::move(seedAddresses))
    , hooks(std::move(linkHooks))
    , random(std::random_device()())
{
    // Poolers that start together ask different instances first.
    this->nextControl = this->random() % 1024;
}

void FleetLink::start()
{
    this->connectNext();
    this->loop.every(RenewInterval, [this] { this->renewOrReconnect(); });
}

void FleetLink::setControls(const std::vector<std::string> &controls)
{
    this->viewControls = controls;
}

void FleetLink::setSeeds(std::vector<std::string> seedAddresses)
{
    this->seeds = std::move(seedAddresses);
}

SeedReader::Hooks FleetLink::seedHooks()
{
    SeedReader::Hooks seedHooks;
    seedHooks.hasNoLeader = [this] {
        return this->leader().empty();
    };
    seedHooks.changed = [this](const std::vector<std::string> &addresses) {
        this->setSeeds(addresses);
    };
    return seedHooks;
}

std::vector<std::string> FleetLink::knownControls() const
{
    std::vector<std::string> all = this->viewControls;
    for (const std::string &seed : this->seeds) {
        if (std::find(all.begin(), all.end(), seed) == all.end())
            all.push_back(seed);
    }
    return all;
}

void FleetLink::renewOrReconnect()
{
    if (this->connection && EventLoop::now() >= this->lastMessageAt + SilenceTimeout)
        this->drop("silent");
    else
        this->renewNow();
}

void FleetLink::renewNow()
{
    if (!this->connection)
        return;
    RenewLease message = this->hooks.renewal();
    message.sequence = ++this->sequence;
    message.answered = this->answered;
    this->sentAt[message.sequence] = EventLoop::now();
    this->connection->send(message);
    if (message.tokens)
        this->tokensReported();
}

void FleetLink::connectNext()
{
    const std::vector<std::string> controls = this->knownControls();
    if (controls.empty())
        return;
    // Only the first attempt: the others may all be gone.
    if (this->failures == 0 && controls.size() > 1
        && controls[this->nextControl % controls.size()] == this->lostControl)
        ++this->nextControl;
    for (std::size_t tried = 0; tried < controls.size(); ++tried) {
        const std::string &next = controls[this->nextControl++ % controls.size()];
        if (this->attempts.count(next) == 0) {
            this->connect(next);
            return;
        }
    }
    this->planAttempt(this->attemptInterval());
}

void FleetLink::connect(const std::string &target)
{
    if (!this->attempts.insert(target).second)
        return;
    const Duration initial =
        std::max<Duration>(ConnectTimeout, this->poolers * ConnectTimePerPooler);
    const Duration timeout = doubled(initial, this->failures, MaxConnectTimeout);
    this->client.connect(target, Subprotocol::Control, EventLoop::now() + timeout,
                         [this, target](absl::StatusOr<ConnectionPtr> result) {
                             this->attempts.erase(target);
                             if (!result.ok())
                                 this->retryLater();
                             else if (this->connection)
                                 (*result)->close(CloseReason::Normal);
                             else
                                 this->connected(*result, target);
                         });
    this->planAttempt(this->attemptInterval());
}

Duration FleetLink::attemptInterval() const
{
    const Duration handshake = this->poolers * ConnectTimePerPooler;
    return std::max(doubled(ConnectTimeout, this->failures, MaxAttemptInterval), handshake);
}

// Begins another attempt after `delay`, or when an earlier one was planned.
void FleetLink::planAttempt(Duration delay)
{
    const TimePoint at = EventLoop::now() + delay;
    if (at >= this->nextAttemptAt)
        return;
    this->nextAttemptAt = at;
    this->loop.schedule(at, [this, at] {
        if (at != this->nextAttemptAt)
            return;
        this->nextAttemptAt = TimePoint::max();
        if (!this->connection)
            this->connectNext();
    });
}

// Connects to another instance after a random delay, so that poolers that lost the same instance
// return spread over time.
void FleetLink::retryLater()
{
    const Duration mean = doubled(ReconnectDelay, this->failures, MaxReconnectDelay);
    ++this->failures;
    std::uniform_int_distribution<Duration::rep> jitter(mean.count() / 2, mean.count() * 3 / 2);
    this->planAttempt(Duration(jitter(this->random)));
}

void FleetLink::follow(const std::string &leader)
{
    const bool isConnecting = !this->connection && !this->attempts.empty();
    if (leader == this->leader() || isConnecting)
        return;
    if (const ConnectionPtr former = std::exchange(this->connection, nullptr))
        former->close(CloseReason::Normal);
    this->isAnswered = false;
    this->connect(leader);
}

void FleetLink::connected(const ConnectionPtr &opened, const std::string &target)
{
    this->connection = opened;
    this->nextAttemptAt = TimePoint::max();
    this->address = target;
    this->isAnswered = false;
    this->answered = 0;
    this->lastMessageAt = EventLoop::now();
    this->sentAt.clear();
    this->leaderlessPolls = 0;
    this->forgetTokenReports();
    opened->onMessage = [this](const Message &message) {
        this->receive(message);
    };
    opened->onClosed = [this, opened = std::weak_ptr<Connection>(opened)] {
        if (this->connection && this->connection == opened.lock())
            this->drop("closed");
    };
    this->renewNow();
}

void FleetLink::receive(const Message &message)
{
    if (const auto *lease = std::get_if<FleetLease>(&message)) {
        if (!lease->packedView.bytes.empty()) {
            this->receivePacked(*lease);
            return;
        }
        this->lastMessageAt = EventLoop::now();
        this->monitor.heard(this->address, this->lastMessageAt);
        this->leaderlessPolls = 0;
        this->isAnswered = true;
        this->lostControl.clear();
        this->failures = 0;
        this->answered = std::max(this->answered, lease->sequence);
        this->poolers = lease->poolers;
        std::optional<TimePoint> asked;
        const auto found = this->sentAt.find(lease->sequence);
        if (found != this->sentAt.end()) {
            asked = found->second;
            this->sentAt.erase(this->sentAt.begin(), std::next(found));
        }
        const bool asksToConfirm = lease->sequence != 0 && lease->leaseFor == Duration::zero();
        if (asksToConfirm && !this->hooks.isObserver) {
            this->forgetTokenReports();
            this->renewNow();
            return;
        }
        this->hooks.received(*lease, asked);
        if (asked && this->hooks.positions)
            this->reportPositions();
    } else if (const auto *tokens = std::get_if<TokenAnswer>(&message)) {
        this->monitor.heard(this->address, EventLoop::now());
        if (this->hooks.tokensAnswered)
            this->hooks.tokensAnswered(*tokens);
    } else if (const auto *answers = std::get_if<AnnouncementAnswers>(&message)) {
        if (this->hooks.announcementsAnswered)
            this->hooks.announcementsAnswered(*answers);
    } else if (const auto *redirection = std::get_if<FleetRedirect>(&message)) {
        this->redirect(redirection->leader);
    }
}

void FleetLink::receivePacked(const FleetLease &lease)
{
    auto view = unpackFleetView(lease.packedView);
    if (!view.ok()) {
        logEvent(LogLevel::Error, "view_unreadable", {{"cause", view.status().ToString()}});
        return;
    }
    FleetLease unpacked = lease;
    view->controls = lease.view.controls;
    unpacked.view = *std::move(view);
    unpacked.packedView = {};
    this->receive(unpacked);
}

// Sent right after an answer, from whose sending the leader counts the ages.
void FleetLink::reportPositions()
{
    PositionReport report{this->answered, this->hooks.positions()};
    if (!report.positions.empty() && this->connection)
        this->connection->send(report);
}

void FleetLink::requestTokens()
{
    if (!this->connection || !this->isAnswered || !this->hooks.tokenRequest)
        return;
    if (const std::optional<TokenRequest> request = this->hooks.tokenRequest()) {
        this->connection->send(*request);
        this->tokensReported();
    }
}

void FleetLink::sendAnnouncements(const AnnouncementBatch &batch)
{
    if (this->connection && this->isAnswered)
        this->connection->send(batch);
}

void FleetLink::tokensReported()
{
    std::uniform_real_distribution<double> jitter(0, 1);
    this->monitor.reportSent(this->poolers, jitter(this->random), EventLoop::now());
    if (!std::exchange(this->isWatching, true))
        this->watchAnswers();
}

void FleetLink::watchAnswers()
{
    const TimePoint due = this->monitor.silentAt();
    this->isWatching = due != TimePoint::max();
    if (!this->isWatching)
        return;
    this->loop.schedule(due, [this] {
        if (!this->connection) {
            this->monitor.reportsEnded();
        } else if (this->monitor.isSilent(this->address, EventLoop::now())) {
            this->lostControl = this->address;
            this->drop("tokens_unanswered");
        }
        this->watchAnswers();
    });
}

void FleetLink::forgetTokenReports(bool isRefused)
{
    this->monitor.reportsEnded();
    if (this->hooks.tokensUnanswered)
        this->hooks.tokensUnanswered(isRefused);
}

void FleetLink::redirect(const std::string &leader)
{
    this->forgetTokenReports(true);
    this->isAnswered = false;
    const bool isDoubtful = leader == this->lostControl && this->leaderlessPolls < DoubtfulPolls;
    const bool isElsewhere = !leader.empty() && leader != this->address && !isDoubtful;
    const Duration delay =
        std::max<Duration>(LeaderlessRetryDelay, this->poolers * RetryDelayPerPooler);
    const auto polls = std::max<Duration::rep>(
        MinLeaderlessPolls, LeaderlessPolls * Duration(LeaderlessRetryDelay) / delay);
    // A leader that was busy answers so until its lease is renewed, and else steps down.
    if (leader != this->address)
        ++this->leaderlessPolls;
    if (!isElsewhere && this->leaderlessPolls <= polls) {
        this->loop.schedule(EventLoop::now() + delay, [this, asked = this->connection] {
            if (this->connection == asked)
                this->renewNow();
        });
        return;
    }
    const ConnectionPtr former = std::exchange(this->connection, nullptr);
    this->isAnswered = false;
    former->close(CloseReason::Normal);
    if (isElsewhere)
        this->connect(leader);
    else
        this->retryLater();
}

void FleetLink::drop(const std::string &cause)
{
    logEvent(LogLevel::Warning, "control_lost", {{"control", this->address}, {"cause", cause}});
    const ConnectionPtr former = std::exchange(this->connection, nullptr);
    this->isAnswered = false;
    this->monitor.reportsEnded();
    former->close(CloseReason::Normal);
    this->connectNext();
}

} // namespace rhubarbweir
