// See quorum_log.hpp. This file: voters whose data folder is lost while another one is gone.
//
// An instance that returns with an empty folder has forgotten what it voted for and what it held,
// and does not vote in its former place. If another voter is gone for good, the rest may be no
// majority and could not even replace the two.
//
// A set of n = 2m - 2 voters with majorities of m can do with m - 1 of them once one is superseded,
// that is, its instance answers under another incarnation. Every majority had at least m - 1 of the
// n - 1 others, and any two groups of m - 1 of these have a member in common. So they know all that
// is committed, and nothing is decided without them. Only one superseded voter counts.
//
// - Only a committed set counts, and each change of the set is committed by majorities of both
//   sets. Otherwise a set that differs by one voter could decide without those m - 1.
// - An election that needs this uses a random term, as the superseded voter may have voted in any
//   term before. Votes of two candidates in one term must not have only that voter in common.
//
// Sets with an odd number of voters have no such reserve: m - 1 of them may all lack a committed
// entry. The recovery of replicas without disks in Viewstamped Replication Revisited (Liskov and
// Cowling, 2012, section 4.3) waits for more of the others there, which cannot be had while one of
// them is gone.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <algorithm>

namespace rhubarbweir {

// The latest set of voters that is known to be committed; empty before the first one. The commit
// index is not stored, but another membership is appended only once the one before is committed.
const std::vector<QuorumMember> &QuorumLog::formerVoters() const
{
    const std::uint64_t index = this->entries.membershipIndexAt(this->lastIndex());
    return this->entries.membershipAt(index <= this->committed ? index : index - 1).voters;
}

// The former voters while the latest set differs and is not known to be committed; null otherwise.
const std::vector<QuorumMember> *QuorumLog::undecidedFormerVoters() const
{
    const std::vector<QuorumMember> &former = this->formerVoters();
    return former.empty() || former == this->membership().voters ? nullptr : &former;
}

// Appends the membership of an even set again, after which the log alone shows that the set was
// committed.
void QuorumLog::confirmVoters()
{
    const QuorumMembership &current = this->membership();
    const std::uint64_t index = this->entries.membershipIndexAt(this->lastIndex());
    const bool isCompacted = index < this->entries.firstIndex();
    if (current.voters.size() % 2 != 0 || isCompacted
        || this->entries.membershipAt(index - 1).voters == current.voters)
        return;
    this->proposeMembership(QuorumMembership(current), "quorum_voters_confirmed", {});
}

void QuorumLog::recordReturn(const QuorumJoin &join)
{
    const InstanceId &instance = join.peer.instance;
    const std::vector<QuorumMember> &voters = this->formerVoters();
    const bool isVoter =
        std::any_of(voters.begin(), voters.end(), [&instance](const QuorumMember &voter) {
            return voter.peer.instance == instance;
        });
    const std::uint64_t incarnation = join.header.fromIncarnation;
    if (!isVoter || this->joiningIncarnations[instance] == incarnation)
        return;
    this->joiningIncarnations[instance] = incarnation;
    if (this->isLeader())
        this->rebuildProgress();
}

// Voters of the committed set whose instances asked to join under another incarnation, with that
// one. It may be an earlier one, of a delayed message, which answers nothing.
std::vector<QuorumMember> QuorumLog::returnedVoters() const
{
    std::vector<QuorumMember> result;
    const std::vector<QuorumMember> &voters = this->formerVoters();
    for (const QuorumMember &voter : voters) {
        const auto joining = this->joiningIncarnations.find(voter.peer.instance);
        if (joining == this->joiningIncarnations.end())
            continue;
        const QuorumMember returned{voter.peer, joining->second};
        if (std::find(voters.begin(), voters.end(), returned) == voters.end())
            result.push_back(returned);
    }
    return result;
}

bool QuorumLog::toleratesSuperseded(const std::vector<QuorumMember> &voters) const
{
    return voters.size() % 2 == 0 && voters == this->formerVoters();
}

// At the leader: how many voters that are not superseded decide.
std::size_t QuorumLog::requiredOf(const std::vector<QuorumMember> &voters) const
{
    const std::size_t majority = voters.size() / 2 + 1;
    const auto isSuperseded = [this](const QuorumMember &voter) {
        const auto found = this->progressByMember.find(keyOf(voter));
        return found != this->progressByMember.end() && found->second.superseded;
    };
    const bool mayLackOne = this->toleratesSuperseded(voters)
                            && std::any_of(voters.begin(), voters.end(), isSuperseded);
    return mayLackOne ? majority - 1 : majority;
}

// At a candidate: whether the voters in favour are one too few, and an instance that none of them
// runs on has shown that its voter is superseded.
bool QuorumLog::isAssistedMajority() const
{
    const std::vector<QuorumMember> &voters = this->membership().voters;
    if (!this->isAssistedElection || this->countVotersInFavour() != voters.size() / 2)
        return false;
    const auto hasVoted = [this](const QuorumMember &member) {
        return this->votes.count(keyOf(member)) != 0;
    };
    const std::vector<QuorumMember> returned = this->returnedVoters();
    return std::any_of(returned.begin(), returned.end(), [&](const QuorumMember &member) {
        return hasVoted(member)
               && std::none_of(voters.begin(), voters.end(), [&](const QuorumMember &voter) {
                      return voter.peer.instance == member.peer.instance && hasVoted(voter);
                  });
    });
}

} // namespace rhubarbweir
