// See control_link.hpp.
#include "programs/proxy/control_link.hpp"

#include "programs/support/event_log.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Timeout for connecting to a control instance.
constexpr std::chrono::milliseconds ConnectTimeout{300};

} // namespace

ControlLink::ControlLink(ViewSubscriberSettings settings, ControlLinkHooks hooks)
    : timer(loop,
            [this] {
                this->subscriber.advance(EventLoop::now());
                this->scheduleAdvance();
            })
    , client(loop)
    , subscriber(
          std::move(settings),
          ViewSubscriberHooks{[this](const RenewLease &renewal) {
                                  if (this->connection)
                                      this->connection->send(renewal);
                              },
                              [this](const std::string &address) { this->connectTo(address); },
                              std::move(hooks.viewChanged), std::move(hooks.leaseChanged)})
{
}

ControlLink::~ControlLink()
{
    this->loop.stop();
    if (this->thread.joinable())
        this->thread.join();
}

void ControlLink::start()
{
    this->loop.post([this] {
        this->subscriber.start(EventLoop::now());
        this->scheduleAdvance();
    });
    this->thread = std::thread([this] { this->loop.run(); });
}

void ControlLink::setObservations(std::vector<TargetObservation> observations)
{
    this->loop.post([this, observations = std::move(observations)]() mutable {
        this->subscriber.setObservations(std::move(observations), EventLoop::now());
        this->scheduleAdvance();
    });
}

void ControlLink::setDraining(bool draining)
{
    this->loop.post([this, draining] {
        this->subscriber.setDraining(draining, EventLoop::now());
        this->scheduleAdvance();
    });
}

void ControlLink::connectTo(const std::string &address)
{
    const std::uint64_t attempt = ++this->currentAttempt;
    if (this->connection) {
        this->connection->onMessage = nullptr;
        this->connection->onClosed = nullptr;
        this->connection->close(CloseReason::Normal);
        this->connection = nullptr;
    }
    // Posted because the subscriber calls this hook from inside its own functions.
    this->loop.post([this, address, attempt] {
        this->client.connect(address, Subprotocol::Control, EventLoop::now() + ConnectTimeout,
                             [this, attempt](absl::StatusOr<ConnectionPtr> result) {
                                 if (result.ok())
                                     this->connected(*result, attempt);
                                 else
                                     this->connectionLost(attempt);
                             });
    });
}

void ControlLink::connected(const ConnectionPtr &opened, std::uint64_t attempt)
{
    if (attempt != this->currentAttempt) {
        opened->close(CloseReason::Normal);
        return;
    }
    this->connection = opened;
    opened->onMessage = [this](const Message &message) {
        this->handleMessage(message);
    };
    opened->onClosed = [this, attempt] {
        this->connectionLost(attempt);
    };
    this->subscriber.connected(EventLoop::now());
    this->scheduleAdvance();
}

void ControlLink::connectionLost(std::uint64_t attempt)
{
    if (attempt != this->currentAttempt)
        return;
    this->connection = nullptr;
    logEvent(LogLevel::Warning, "control_connection_lost", {});
    this->subscriber.disconnected(EventLoop::now());
    this->scheduleAdvance();
}

void ControlLink::handleMessage(const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *granted = std::get_if<LeaseGranted>(&message))
        this->subscriber.receive(*granted, now);
    else if (const auto *refused = std::get_if<LeaseRefused>(&message))
        this->subscriber.receive(*refused, now);
    else if (const auto *changed = std::get_if<ViewChanged>(&message))
        this->subscriber.receive(*changed, now);
    this->scheduleAdvance();
}

void ControlLink::scheduleAdvance()
{
    this->timer.wakeAt(this->subscriber.nextDeadline());
}

} // namespace rhubarbweir
