// Tests of individual rules of QuorumLog on one instance, with messages constructed by the test.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

using namespace rhubarbweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// One instance in a cluster of three voters with incarnations 1 to 3. Its log holds uncommitted
// entries of term 2.
struct SingleLog
{
    SingleLog()
        : log(this->settings(), this->hooks(), std::mt19937_64(1))
    {
        RecoveredState recovered;
        recovered.hardState = QuorumHardState{1, 9, 0, 2, {}, 0};
        QuorumEntry first{1, 2, EntryKind::Membership, {}, {}};
        for (std::uint64_t number = 1; number <= 3; ++number)
            first.membership.voters.push_back({this->peer(number), number});
        first.membership.voterTarget = 3;
        recovered.entries = {first, QuorumEntry{2, 2, EntryKind::Payload, OpaqueBytes("x"), {}}};
        this->log.start(recovered, this->now);
    }

    static QuorumPeer peer(std::uint64_t number)
    {
        return {InstanceId("control-" + std::to_string(number)), {}, {}};
    }
    static QuorumSettings settings()
    {
        QuorumSettings result;
        result.self = peer(1);
        return result;
    }
    QuorumHooks hooks()
    {
        QuorumHooks result;
        result.send = [this](const InstanceId &, const QuorumMessage &message) {
            this->sent.push_back(message);
        };
        result.persist = [this](const PersistBatch &batch) {
            this->batches.push_back(batch);
            if (!this->diskBlocked)
                this->log.persisted(batch.token, this->now);
        };
        result.apply = [](std::uint64_t, const std::string &) {
        };
        return result;
    }
    void receiveVote(VotePhase phase)
    {
        QuorumVoteAnswer answer;
        answer.header = {9, 2, 1, this->log.term()};
        answer.phase = phase;
        answer.electionTerm = phase == VotePhase::Vote ? this->log.term() : this->log.term() + 1;
        answer.granted = true;
        this->log.receive(this->peer(2).instance, answer, this->now);
    }
    void becomeLeader()
    {
        this->now += seconds(1);
        this->log.advance(this->now);
        this->receiveVote(VotePhase::PreVote);
        this->receiveVote(VotePhase::Vote);
    }
    void acknowledge(std::uint64_t incarnation, std::uint64_t index)
    {
        QuorumAppendAnswer answer;
        answer.header = {9, incarnation, 1, this->log.term()};
        answer.sequence = std::get<QuorumAppend>(this->sent.back()).sequence;
        answer.accepted = true;
        answer.matchIndex = index;
        this->log.receive(this->peer(2).instance, answer, this->now);
    }

    TimePoint now{std::chrono::hours(1)};
    std::vector<QuorumMessage> sent;
    std::vector<PersistBatch> batches;
    bool diskBlocked = false;
    QuorumLog log;
};

} // namespace

Test(quorum_rules, older_terms,
     .description = "entries of older terms are committed along with one of the current term")
{
    SingleLog single;
    single.becomeLeader();
    cr_assert(single.log.isLeader());
    cr_assert_eq(single.log.term(), 3);
    single.acknowledge(2, 2);
    cr_assert_eq(single.log.commitIndex(), 0,
                 "a majority has entry 2, but a later leader may still overwrite it");
    cr_assert_not(single.log.leaseValid(single.now));
    single.acknowledge(2, 3);
    cr_assert_eq(single.log.commitIndex(), 3);
    cr_assert(single.log.leaseValid(single.now));
}

Test(quorum_rules, lease_start,
     .description = "the lease starts when the answered message was sent")
{
    SingleLog single;
    single.becomeLeader();
    const TimePoint sent = single.now;
    single.now += milliseconds(200);
    single.acknowledge(2, 3);
    cr_assert(single.log.leaseEnd(single.now) == sent + Duration(237500));
}

Test(quorum_rules, durable_vote, .description = "a vote is durable before it is sent")
{
    SingleLog single;
    single.now += seconds(1);
    single.diskBlocked = true;
    QuorumVoteRequest request;
    request.header = {9, 2, 1, 5};
    request.phase = VotePhase::Vote;
    request.lastIndex = 2;
    request.lastTerm = 2;
    single.log.receive(SingleLog::peer(2).instance, request, single.now);
    cr_assert(single.sent.empty());
    const PersistBatch &batch = single.batches.back();
    cr_assert_eq(batch.hardState->term, 5);
    cr_assert(batch.hardState->votedFor == SingleLog::peer(2).instance);
    single.log.persisted(batch.token, single.now);
    cr_assert(std::get<QuorumVoteAnswer>(single.sent.back()).granted);
    request.header.fromIncarnation = 3;
    single.log.receive(SingleLog::peer(3).instance, request, single.now);
    cr_assert_not(std::get<QuorumVoteAnswer>(single.sent.back()).granted,
                  "at most one vote per term");
}

Test(quorum_rules, other_incarnation, .description = "answers of another incarnation do not count")
{
    SingleLog single;
    single.becomeLeader();
    single.acknowledge(7, 3);
    cr_assert_eq(single.log.commitIndex(), 0);
    cr_assert_not(single.log.leaseValid(single.now));
}
