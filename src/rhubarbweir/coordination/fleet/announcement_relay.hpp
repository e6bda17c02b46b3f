// Takes announcements of targets at a control instance that does not lead.
//
// Answers the load of many targets: 1,800 targets announce themselves 1,500 times a second, and a
// leader that takes each as a call of its own, after a redirection, has no processor time and no
// connections left for operators and poolers. Repeated announcements are therefore answered here
// and reach the leader as a few bytes each, several times a second. A new or changed announcement
// is answered once the leader has answered it.
//
// A target may announce itself elsewhere in between. Its sequence then has a gap, and its next
// announcement goes to the leader in full.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace rhubarbweir {

class AnnouncementRelay
{
public:
    // Sends a batch to the current leader. Best effort.
    using Send = std::function<void(const AnnouncementBatch &)>;

    explicit AnnouncementRelay(Send send);

    // Internal address of the leader; empty if none is known. A change ends waiting calls as
    // unavailable.
    void setLeader(const std::string &address);
    // `done` may be called before the function returns. Unavailable without a leader that answers.
    // Any function of the relay may be called from within it.
    void announced(const RegisteredTarget &target, FleetCallDone done, TimePoint now);
    void answered(const AnnouncementAnswers &answers, TimePoint now);
    void advance(TimePoint now);
    // When advance() is due.
    TimePoint nextDeadline() const;

private:
    struct Call
    {
        RegisteredTarget target;
        FleetCallDone done;
        TimePoint deadline;
    };

    struct AcceptedTarget
    {
        // With the sequence of its last repetition.
        RegisteredTarget target;
        // Its sequence when the leader accepted it.
        std::uint64_t since = 0;
    };

    bool isSilent(TimePoint now) const;
    void finish(std::map<TargetId, Call>::iterator call, FleetCallOutcome outcome);
    void sendBatch(TimePoint now);

    Send send;
    std::string leader;
    // The last announcement of each target that the leader accepted.
    std::map<TargetId, AcceptedTarget> accepted;
    // Calls that wait for the leader's answer; at most one for each target.
    std::map<TargetId, Call> calls;
    // What the next batch holds, and when it is sent.
    AnnouncementBatch next;
    TimePoint sendAt = TimePoint::max();
    std::uint64_t lastNumber = 0;
    // When the leader has to have answered the first batch that it has not answered.
    std::optional<TimePoint> answerDueAt;
};

} // namespace rhubarbweir
