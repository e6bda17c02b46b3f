// Sends requests to the control instances: finds the leader, and resends a request whose answer was
// lost.
#pragma once

#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbweir {

class ControlClient
{
public:
    // Called about every two seconds while a request is unanswered, with the reason.
    using Progress = std::function<void(const std::string &waitingFor)>;

    ControlClient(std::vector<std::string> controlAddresses, Duration answerTimeout,
                  Progress progressHook);

    // Sends `request` to one control instance after another until the leader answers. After a
    // lost answer the same request is sent again, so that an edit keeps its request id.
    // Errors: DeadlineExceeded when no leader answered in time, Internal for an answer of
    // another type.
    template<typename Answer>
    absl::StatusOr<Answer> ask(const Message &request);

    // Sends `request` to `address` only. Errors: as above, and Unavailable.
    template<typename Answer>
    absl::StatusOr<Answer> askAt(const std::string &address, const Message &request);

    // Waits for `duration`, for example between two polls.
    void pause(Duration duration);

private:
    absl::StatusOr<Message> askLeader(const Message &request, TimePoint deadline);
    absl::StatusOr<Message> exchange(const std::string &address, const Message &request,
                                     TimePoint deadline);
    void reportProgress(const std::string &waitingFor);

    std::vector<std::string> addresses;
    Duration timeout;
    Progress progress;
    // Time of the next progress report.
    TimePoint nextProgressAt{};
    EventLoop loop;
    WebSocketClient client;
    // Address that the next request is sent to first, normally the leader's; may be empty.
    std::string preferredAddress;
};

template<typename Answer>
absl::StatusOr<Answer> expectAnswer(absl::StatusOr<Message> answer)
{
    if (!answer.ok())
        return answer.status();
    if (Answer *typed = std::get_if<Answer>(&*answer))
        return std::move(*typed);
    return absl::InternalError("the answer has an unexpected type");
}

template<typename Answer>
absl::StatusOr<Answer> ControlClient::ask(const Message &request)
{
    return expectAnswer<Answer>(this->askLeader(request, EventLoop::now() + this->timeout));
}

template<typename Answer>
absl::StatusOr<Answer> ControlClient::askAt(const std::string &address, const Message &request)
{
    return expectAnswer<Answer>(this->exchange(address, request, EventLoop::now() + this->timeout));
}

} // namespace rhubarbweir
