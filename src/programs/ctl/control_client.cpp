// See control_client.hpp.
#include "programs/ctl/control_client.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace rhubarbweir {

namespace {

// Time that one instance has to answer before the next one is asked.
constexpr std::chrono::seconds AttemptTimeout{4};
// Pause after every instance was asked in vain.
constexpr std::chrono::milliseconds RoundPause{200};
// Interval between reports of progress.
constexpr std::chrono::seconds ProgressInterval{2};

// Where the leader is, as an answer says it.
struct LeaderHint
{
    // Whether the answer is final, coming from the leader itself.
    bool isFinal = true;
    std::string address;
};

LeaderHint hintOf(const TableEditResult &answer)
{
    const bool retry =
        answer.outcome == EditOutcome::NotLeader || answer.outcome == EditOutcome::Unknown;
    return {!retry, answer.leaderAddress};
}

LeaderHint hintOf(const PlannedChangeResult &answer)
{
    return {answer.accepted || answer.leaderAddress.empty(), answer.leaderAddress};
}

// Queries are final when the asked instance is the leader that they name, or names none.
template<typename Query>
LeaderHint hintOfQuery(const Query &answer, const std::string &asked)
{
    return {answer.leaderAddress.empty() || answer.leaderAddress == asked, answer.leaderAddress};
}

LeaderHint leaderHint(const Message &answer, const std::string &asked)
{
    if (const auto *edit = std::get_if<TableEditResult>(&answer))
        return hintOf(*edit);
    if (const auto *change = std::get_if<PlannedChangeResult>(&answer))
        return hintOf(*change);
    if (const auto *rows = std::get_if<TableRows>(&answer))
        return hintOfQuery(*rows, asked);
    if (const auto *inForce = std::get_if<InForceReport>(&answer))
        return hintOfQuery(*inForce, asked);
    if (const auto *status = std::get_if<StatusReport>(&answer))
        return {status->leaderAddress == asked, status->leaderAddress};
    return {};
}

} // namespace

ControlClient::ControlClient(std::vector<std::string> controlAddresses, Duration answerTimeout,
                             Progress progressHook)
    : addresses(std::move(controlAddresses))
    , timeout(answerTimeout)
    , progress(std::move(progressHook))
    , client(loop)
{
}

void ControlClient::reportProgress(const std::string &waitingFor)
{
    if (!this->progress || EventLoop::now() < this->progressAt)
        return;
    this->progressAt = EventLoop::now() + ProgressInterval;
    this->progress(waitingFor);
}

void ControlClient::pause(Duration duration)
{
    this->loop.schedule(EventLoop::now() + duration, [this] { this->loop.stop(); });
    this->loop.run();
}

absl::StatusOr<Message> ControlClient::askLeader(const Message &request, TimePoint deadline)
{
    this->progressAt = EventLoop::now() + ProgressInterval;
    std::string lastFault = "no control instance is known";
    std::size_t next = 0;
    while (EventLoop::now() < deadline) {
        const bool followsHint = !this->preferred.empty();
        const std::string address = followsHint ? std::exchange(this->preferred, "")
                                                : this->addresses[next++ % this->addresses.size()];
        absl::StatusOr<Message> answer =
            this->exchange(address, request, std::min(deadline, EventLoop::now() + AttemptTimeout));
        if (answer.ok()) {
            const LeaderHint hint = leaderHint(*answer, address);
            if (hint.isFinal) {
                this->preferred = address;
                return answer;
            }
            if (hint.address != address)
                this->preferred = hint.address;
            lastFault = absl::StrCat(address, " does not lead");
        } else {
            lastFault = absl::StrCat(address, ": ", std::string(answer.status().message()));
        }
        this->reportProgress(lastFault);
        if (this->preferred.empty() && next % this->addresses.size() == 0)
            this->pause(RoundPause);
    }
    return absl::DeadlineExceededError(absl::StrCat("no leader answered in time; ", lastFault));
}

absl::StatusOr<Message> ControlClient::exchange(const std::string &address, const Message &request,
                                                TimePoint deadline)
{
    // Shared with callbacks that may run after this call returned.
    struct Exchange
    {
        std::optional<absl::StatusOr<Message>> result;
        ConnectionPtr connection;
    };
    const auto state = std::make_shared<Exchange>();
    const auto finish = [this, state](absl::StatusOr<Message> result) {
        if (state->result)
            return;
        state->result = std::move(result);
        this->loop.stop();
    };
    const auto connected = [state, finish, request](absl::StatusOr<ConnectionPtr> connection) {
        if (!connection.ok()) {
            finish(connection.status());
            return;
        }
        state->connection = *connection;
        state->connection->onMessage = [finish](Message message) {
            finish(std::move(message));
        };
        state->connection->onClosed = [finish] {
            finish(absl::UnavailableError("closed without an answer"));
        };
        state->connection->send(request);
    };
    this->client.connect(address, Subprotocol::Control, deadline, connected);
    this->loop.schedule(deadline, [finish] { finish(absl::DeadlineExceededError("no answer")); });
    while (!state->result)
        this->loop.run();
    if (state->connection && state->connection->isOpen())
        state->connection->close(CloseReason::Normal);
    state->connection.reset();
    return *std::move(state->result);
}

} // namespace rhubarbweir
