// See quorum_log.hpp. This file: members that leave before a planned stop.
//
// A voter that stops without leaving keeps its vote until it is replaced as silent. A data folder
// that is lost in the meantime may then be one too many, although a learner holds the whole log. So
// a member asks the leader to be removed and stops once the removal is committed. A leader promotes
// the learner that takes its vote, hands over, and asks its successor.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <algorithm>

namespace rhubarbweir {

void QuorumLog::leave(TimePoint time)
{
    this->beginEvent(time);
    if (this->leaveStep == LeaveStep::Member) {
        this->leaveStep = LeaveStep::Leaving;
        this->leaveRequestAt = this->currentTime;
        this->emitEvent("quorum_leave_requested",
                        {{"leader", this->knownLeader ? this->knownLeader->instance.value : ""},
                         {"voter", this->isVoter() ? "yes" : "no"}});
        if (this->lastIndex() == 0)
            this->leaveStep = LeaveStep::Left;
        this->advanceLeaving();
    }
    this->finishEvent();
}

void QuorumLog::advanceLeaving()
{
    if (this->leaveStep != LeaveStep::Leaving)
        return;
    if (this->isLeader()) {
        this->maintainMembership();
        const bool isReplaced = this->membership().voters.size() > this->membership().voterTarget;
        const bool isSettled =
            this->entries.membershipIndexAt(this->lastIndex()) <= this->committed;
        const bool mayHandOver =
            isSettled && (isReplaced || !this->hasLearnerFor(this->settings.self.instance));
        if (mayHandOver && !this->handOverLeadership(this->currentTime).ok())
            this->leaveStep = LeaveStep::Left;
        return;
    }
    if (this->knownLeader)
        this->leaveContact = this->knownLeader->instance;
    if (this->currentTime < this->leaveRequestAt || this->leaveContact.empty())
        return;
    this->leaveRequestAt = this->currentTime + this->settings.heartbeat;
    this->sendAfterSync(this->leaveContact, QuorumLeave{this->header(0)});
}

// Whether some learner may take a vote once it is up to date.
bool QuorumLog::hasLearnerFor(const InstanceId &leaving) const
{
    const QuorumMembership &current = this->membership();
    return std::any_of(current.learners.begin(), current.learners.end(),
                       [this, &current, &leaving](const QuorumMember &learner) {
                           const bool isVoter =
                               std::any_of(current.voters.begin(), current.voters.end(),
                                           [&learner](const QuorumMember &voter) {
                                               return voter.peer.instance == learner.peer.instance;
                                           });
                           const auto found = this->progressByMember.find(keyOf(learner));
                           return learner.peer.instance != leaving && !isVoter
                                  && found != this->progressByMember.end()
                                  && this->answeredRecently(found->second)
                                  && !found->second.leaveAskedAt;
                       });
}

void QuorumLog::handle(const InstanceId &from, const QuorumLeave &leave)
{
    if (!this->isLeader()) {
        (void)this->redirectJoin(from, leave.header);
        return;
    }
    const auto found = this->progressByMember.find({from, leave.header.fromIncarnation});
    if (found == this->progressByMember.end()) {
        const bool isCommitted =
            this->entries.membershipIndexAt(this->lastIndex()) <= this->committed;
        if (isCommitted)
            this->answerLeave(from, leave.header, true);
        return;
    }
    MemberProgress &progress = found->second;
    progress.leaveAskedAt = this->currentTime;
    const QuorumMember member = progress.member;
    QuorumMembership next = this->membership();
    const auto learner = std::find(next.learners.begin(), next.learners.end(), member);
    const bool isVoting =
        std::find(next.voters.begin(), next.voters.end(), member) != next.voters.end();
    // Its removal is not committed yet.
    if (!isVoting && learner == next.learners.end())
        return;
    if (learner == next.learners.end()) {
        const bool isReplaced = next.voters.size() > next.voterTarget;
        if (!isReplaced && !this->hasLearnerFor(from))
            this->answerLeave(from, leave.header, false);
        else
            this->maintainMembership();
        return;
    }
    if (!this->checkChangeAllowed().ok())
        return;
    next.learners.erase(learner);
    this->proposeMembership(next, "quorum_learner_removed",
                            {{"instance", from.value}, {"cause", "leaving"}});
}

void QuorumLog::answerLeave(const InstanceId &to, const QuorumHeader &received, bool removed)
{
    QuorumLeaveAnswer answer;
    answer.header = this->header(received.fromIncarnation);
    answer.removed = removed;
    this->sendAfterSync(to, answer);
}

void QuorumLog::handle(const InstanceId &from, const QuorumLeaveAnswer &answer)
{
    if (this->leaveStep != LeaveStep::Leaving || this->isLeader())
        return;
    this->leaveStep = LeaveStep::Left;
    this->emitEvent("quorum_left", {{"leader", from.value},
                                    {"removed", answer.removed ? "yes" : "no"},
                                    {"cause", answer.removed ? "replaced" : "no_replacement"}});
}

} // namespace rhubarbweir
