// Asks control instances for one answer: finds the leader, and resends after a lost answer.
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
    // Called about every two seconds while no answer is there, with the reason.
    using Progress = std::function<void(const std::string &waitingFor)>;

    ControlClient(std::vector<std::string> controlAddresses, Duration answerTimeout,
                  Progress progressHook);

    // Sends `request` to one control instance after the other, until the leader answered. The
    // same bytes are resent after a lost answer, so an edit keeps its request id.
    // Errors: DeadlineExceeded when no leader answered in time, Internal for an answer of
    // another type.
    template<typename Answer>
    absl::StatusOr<Answer> ask(const Message &request);

    // Sends `request` to `address` only. Errors: as above, and Unavailable.
    template<typename Answer>
    absl::StatusOr<Answer> askAt(const std::string &address, const Message &request);

    // Waits without asking, for instance between two polls.
    void pause(Duration duration);

private:
    absl::StatusOr<Message> askLeader(const Message &request, TimePoint deadline);
    absl::StatusOr<Message> exchange(const std::string &address, const Message &request,
                                     TimePoint deadline);
    void reportProgress(const std::string &waitingFor);

    std::vector<std::string> addresses;
    Duration timeout;
    Progress progress;
    // When progress is reported next.
    TimePoint progressAt{};
    EventLoop loop;
    WebSocketClient client;
    // The instance that is asked first.
    std::string preferred;
};

template<typename Answer>
absl::StatusOr<Answer> expectAnswer(absl::StatusOr<Message> answer)
{
    if (!answer.ok())
        return answer.status();
    if (Answer *typed = std::get_if<Answer>(&*answer))
        return std::move(*typed);
    return absl::InternalError("the answer has another type than the question asks for");
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
