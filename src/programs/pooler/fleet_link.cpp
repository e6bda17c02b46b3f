// See fleet_link.hpp.
#include "programs/pooler/fleet_link.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace rhubarbweir {

namespace {

// A tenth of a lease, so that several lost renewals do not end it.
constexpr std::chrono::milliseconds RenewInterval{500};
// A control instance that answers nothing for this long is left for another one.
constexpr std::chrono::milliseconds SilentAfter{1200};
// A lost opening packet is sent again after a second; a new attempt is quicker.
constexpr std::chrono::milliseconds ConnectTimeout{250};
constexpr std::chrono::milliseconds RetryPause{100};
// A control instance that knows no leader is asked again after this, a part of an election, and
// left for another one after so many times: it may be cut off from the others.
constexpr std::chrono::milliseconds LeaderlessPause{40};
constexpr unsigned LeaderlessPolls = 8;

} // namespace

FleetLink::FleetLink(EventLoop &eventLoop, std::vector<std::string> seedAddresses,
                     FleetLinkHooks linkHooks)
    : loop(eventLoop)
    , client(eventLoop)
    , seeds(std::move(seedAddresses))
    , hooks(std::move(linkHooks))
{
}

void FleetLink::start()
{
    this->connectNext();
    this->loop.every(RenewInterval, [this] { this->tick(); });
}

void FleetLink::learn(const std::vector<std::string> &controls)
{
    this->learned = controls;
}

void FleetLink::setSeeds(std::vector<std::string> seedAddresses)
{
    this->seeds = std::move(seedAddresses);
}

std::vector<std::string> FleetLink::knownControls() const
{
    std::vector<std::string> all = this->learned;
    for (const std::string &seed : this->seeds) {
        if (std::find(all.begin(), all.end(), seed) == all.end())
            all.push_back(seed);
    }
    return all;
}

void FleetLink::tick()
{
    if (this->connection && EventLoop::now() >= this->heardAt + SilentAfter)
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
    this->sentAt[message.sequence] = EventLoop::now();
    this->connection->send(message);
}

void FleetLink::connectNext()
{
    const std::vector<std::string> controls = this->knownControls();
    if (!controls.empty())
        this->connect(controls[this->nextControl++ % controls.size()]);
}

void FleetLink::connect(const std::string &target)
{
    if (this->isConnecting)
        return;
    this->isConnecting = true;
    this->client.connect(target, Subprotocol::Control, EventLoop::now() + ConnectTimeout,
                         [this, target](absl::StatusOr<ConnectionPtr> result) {
                             this->isConnecting = false;
                             if (result.ok()) {
                                 this->connected(*result, target);
                                 return;
                             }
                             this->loop.schedule(EventLoop::now() + RetryPause,
                                                 [this] { this->connectNext(); });
                         });
}

void FleetLink::connected(const ConnectionPtr &opened, const std::string &target)
{
    this->connection = opened;
    this->address = target;
    this->heardAt = EventLoop::now();
    this->sentAt.clear();
    this->leaderlessPolls = 0;
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
        this->heardAt = EventLoop::now();
        this->leaderlessPolls = 0;
        std::optional<TimePoint> asked;
        const auto found = this->sentAt.find(lease->sequence);
        if (found != this->sentAt.end()) {
            asked = found->second;
            this->sentAt.erase(this->sentAt.begin(), std::next(found));
        }
        this->hooks.received(*lease, asked);
    } else if (const auto *elsewhere = std::get_if<FleetRedirect>(&message)) {
        this->redirect(elsewhere->leader);
    }
}

void FleetLink::redirect(const std::string &leader)
{
    const bool isElsewhere = !leader.empty() && leader != this->address;
    if (!isElsewhere && ++this->leaderlessPolls <= LeaderlessPolls) {
        this->loop.schedule(EventLoop::now() + LeaderlessPause, [this, asked = this->connection] {
            if (this->connection == asked)
                this->renewNow();
        });
        return;
    }
    const ConnectionPtr former = std::exchange(this->connection, nullptr);
    former->close(CloseReason::Normal);
    if (isElsewhere) {
        this->connect(leader);
        return;
    }
    this->loop.schedule(EventLoop::now() + RetryPause, [this] {
        if (!this->connection)
            this->connectNext();
    });
}

void FleetLink::drop(const std::string &cause)
{
    logEvent(LogLevel::Warning, "control_lost", {{"control", this->address}, {"cause", cause}});
    const ConnectionPtr former = std::exchange(this->connection, nullptr);
    former->close(CloseReason::Normal);
    this->connectNext();
}

} // namespace rhubarbweir
