// See announcement_relay.hpp.
#include "rhubarbweir/coordination/fleet/announcement_relay.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Announcements that arrive within this time share a batch.
constexpr std::chrono::milliseconds AnnouncementDelay{10};
// A fifth of the interval at which a target announces itself, so that the detection of a lost one
// takes hardly longer.
constexpr std::chrono::milliseconds HeartbeatDelay{200};
// A target waits for one second before it calls another instance.
constexpr std::chrono::milliseconds CallTimeout{900};
// A leader that does not answer for this long may be cut off from this instance, while others reach
// it. An election takes less.
constexpr std::chrono::milliseconds AnswerTimeout{800};
// Targets beyond this number are announced in full each time.
constexpr std::size_t MaxAcceptedTargets = 16384;

bool repeats(const RegisteredTarget &target, RegisteredTarget known)
{
    ++known.sequence;
    return target == known;
}

} // namespace

AnnouncementRelay::AnnouncementRelay(Send sendHook)
    : send(std::move(sendHook))
{
}

void AnnouncementRelay::setLeader(const std::string &address)
{
    if (address == this->leader)
        return;
    this->leader = address;
    this->accepted.clear();
    this->next = {};
    this->sendAt = TimePoint::max();
    this->answerDueAt.reset();
    for (const auto &[target, call] : std::exchange(this->calls, {}))
        call.done(FleetCallOutcome::Unavailable);
}

void AnnouncementRelay::announced(const RegisteredTarget &target, FleetCallDone done, TimePoint now)
{
    if (this->leader.empty()) {
        done(FleetCallOutcome::Unavailable);
        return;
    }
    const bool isSilentLeader = this->isSilent(now);
    const auto known = this->accepted.find(target.target);
    if (!isSilentLeader && known != this->accepted.end() && repeats(target, known->second.target)) {
        known->second.target.sequence = target.sequence;
        this->next.heartbeats.push_back(
            {target.target, target.born, known->second.since, target.sequence});
        this->sendAt = std::min(this->sendAt, now + HeartbeatDelay);
        done(FleetCallOutcome::Accepted);
        return;
    }
    if (known != this->accepted.end())
        this->accepted.erase(known);
    // Sent to a silent leader too, as its answer shows that it is back.
    this->next.announcements.push_back(target);
    this->sendAt = std::min(this->sendAt, now + AnnouncementDelay);
    if (isSilentLeader) {
        done(FleetCallOutcome::Unavailable);
        return;
    }
    const Call former =
        std::exchange(this->calls[target.target], {target, std::move(done), now + CallTimeout});
    if (former.done)
        former.done(FleetCallOutcome::Unavailable);
}

void AnnouncementRelay::answered(const AnnouncementAnswers &answers, TimePoint now)
{
    if (answers.number != 0) {
        this->answerDueAt.reset();
        if (answers.number < this->lastNumber)
            this->answerDueAt = now + AnswerTimeout;
    }
    for (const AnnouncementAnswer &answer : answers.answers) {
        const auto call = this->calls.find(answer.target);
        if (call == this->calls.end() || call->second.target.born != answer.born
            || call->second.target.sequence != answer.sequence)
            continue;
        if (answer.isAccepted && answer.isRegistered && this->accepted.size() < MaxAcceptedTargets)
            this->accepted[answer.target] = {call->second.target, answer.sequence};
        this->finish(call, answer.isAccepted ? FleetCallOutcome::Accepted
                                             : FleetCallOutcome::Unavailable);
    }
    for (const TargetId &target : answers.unknown)
        this->accepted.erase(target);
}

void AnnouncementRelay::advance(TimePoint now)
{
    if (now >= this->sendAt)
        this->sendBatch(now);
    std::vector<FleetCallDone> expired;
    for (auto call = this->calls.begin(); call != this->calls.end();) {
        if (now < call->second.deadline) {
            ++call;
            continue;
        }
        expired.push_back(std::move(call->second.done));
        call = this->calls.erase(call);
    }
    for (const FleetCallDone &done : expired)
        done(FleetCallOutcome::Unavailable);
}

TimePoint AnnouncementRelay::nextDeadline() const
{
    TimePoint deadline = this->sendAt;
    for (const auto &[target, call] : this->calls)
        deadline = std::min(deadline, call.deadline);
    return deadline;
}

bool AnnouncementRelay::isSilent(TimePoint now) const
{
    return this->answerDueAt && now >= *this->answerDueAt;
}

void AnnouncementRelay::finish(std::map<TargetId, Call>::iterator call, FleetCallOutcome outcome)
{
    const FleetCallDone done = std::move(call->second.done);
    this->calls.erase(call);
    done(outcome);
}

void AnnouncementRelay::sendBatch(TimePoint now)
{
    AnnouncementBatch batch = std::exchange(this->next, {});
    this->sendAt = TimePoint::max();
    batch.number = ++this->lastNumber;
    if (!this->answerDueAt)
        this->answerDueAt = now + AnswerTimeout;
    this->send(batch);
}

} // namespace rhubarbweir
