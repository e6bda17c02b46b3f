// See control_client.hpp.
#include "programs/ctl/control_client.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace rhubarbweir {

namespace {

// Time limit for the answer of one instance before the next one is asked.
constexpr std::chrono::seconds AttemptTimeout{4};
// Pause after all instances were asked without success.
constexpr std::chrono::milliseconds RoundPause{200};
// Interval between progress reports.
constexpr std::chrono::seconds ProgressInterval{2};

// What an answer tells about the leader.
struct LeaderHint
{
    // Whether the answer is final, so that no other instance has to be asked.
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

// The answer to a query is final when it comes from the leader that it names, or names no leader.
template<typename Answer>
LeaderHint hintOfQuery(const Answer &answer, const std::string &asked)
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
    if (!this->progress || EventLoop::now() < this->nextProgressAt)
        return;
    this->nextProgressAt = EventLoop::now() + ProgressInterval;
    this->progress(waitingFor);
}

void ControlClient::pause(Duration duration)
{
    this->loop.schedule(EventLoop::now() + duration, [this] { this->loop.stop(); });
    this->loop.run();
}

absl::StatusOr<Message> ControlClient::askLeader(const Message &request, TimePoint deadline)
{
    this->nextProgressAt = EventLoop::now() + ProgressInterval;
    std::string lastError = "no control instance was asked";
    std::size_t next = 0;
    while (EventLoop::now() < deadline) {
        const bool followsHint = !this->preferredAddress.empty();
        const std::string address = followsHint ? std::exchange(this->preferredAddress, "")
                                                : this->addresses[next++ % this->addresses.size()];
        absl::StatusOr<Message> answer =
            this->exchange(address, request, std::min(deadline, EventLoop::now() + AttemptTimeout));
        if (answer.ok()) {
            const LeaderHint hint = leaderHint(*answer, address);
            if (hint.isFinal) {
                this->preferredAddress = address;
                return answer;
            }
            if (hint.address != address)
                this->preferredAddress = hint.address;
            lastError = absl::StrCat(address, " is not the leader");
        } else {
            lastError = absl::StrCat(address, ": ", std::string(answer.status().message()));
        }
        this->reportProgress(lastError);
        if (this->preferredAddress.empty() && next % this->addresses.size() == 0)
            this->pause(RoundPause);
    }
    return absl::DeadlineExceededError(absl::StrCat("no leader answered in time; ", lastError));
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
            finish(absl::UnavailableError("connection closed without an answer"));
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
