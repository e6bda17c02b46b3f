// See quorum_log.hpp. This file: incarnations, cluster bootstrap and joining.
//
// An instance with an empty data folder generates a random incarnation and makes it durable before
// it sends any message. It becomes a voter only through a membership entry that contains this
// incarnation, so an instance that lost its data never votes under its former identity, whatever
// its settings say.
//
// An instance without a leader asks every peer that it knows to add it. A member that does not lead
// names the leader, and a member that still calls the instance under a former incarnation is asked
// as well, so that settings that name no leader keep nobody out.
//
// The settings name the same initial voters on all instances, but some of them may be observers,
// which never have a data folder. The one with the smallest id among the others writes the first
// membership entry, of all those that are no observers. Before that, every smaller one has to
// answer that it is an observer, and every other one that, or that it is empty, is configured to
// bootstrap, and promises to join only the cluster of this incarnation. Whether an instance is an
// observer never changes, so no two sets can be proposed. A bootstrapping instance that lost its
// data therefore starts no second cluster as long as one initial voter kept its folder. A promise
// is withdrawn when an initial voter turns out to hold state: the bootstrap that it was given for
// can no longer complete.
//
// Where all initial voters are observers, the one with the smallest id names one of the instances
// that ask to join, which founds the cluster alone (observer_reply.hpp). The others join it.
//
// Until the set has its target size, it bears fewer losses: one voter none, two voters none. The
// learners that make up for the observers follow within about a second.
//
// Known limits: if all initial voters lose their folders at once, no instance can detect it and a
// new, empty cluster starts, even if a spare holds the old one. Operators should therefore remove
// the bootstrap flag after the first start. A folder restored from an older copy is not detected
// either.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::seconds JoinReportInterval{2};

bool isInitialVoter(const QuorumSettings &settings, const InstanceId &instance)
{
    return std::any_of(settings.initialVoters.begin(), settings.initialVoters.end(),
                       [&instance](const QuorumPeer &peer) { return peer.instance == instance; });
}

} // namespace

bool QuorumLog::mayBootstrap() const
{
    return this->settings.bootstrap && this->hardState.clusterId == 0 && this->lastIndex() == 0;
}

// Whether all initial voters that would bootstrap before this instance are known to be observers.
bool QuorumLog::isBootstrapper() const
{
    const InstanceId &self = this->settings.self.instance;
    const bool isInitial = isInitialVoter(this->settings, self);
    return this->mayBootstrap() && !this->settings.initialVoters.empty()
           && std::all_of(this->settings.initialVoters.begin(), this->settings.initialVoters.end(),
                          [&](const QuorumPeer &peer) {
                              const bool isBefore = !isInitial || peer.instance < self;
                              return !isBefore || this->observers.count(peer.instance) != 0;
                          });
}

void QuorumLog::generateIncarnation()
{
    this->hardState = {};
    while (this->hardState.incarnation == 0)
        this->hardState.incarnation = this->random();
    this->saveHardState();
}

// A crash may leave the id of a cluster that this instance was about to found without its first
// entry. Nobody has received that entry, as it is sent only once it is durable here.
void QuorumLog::forgetUnwrittenCluster()
{
    if (this->hardState.clusterId != this->hardState.incarnation || this->lastIndex() != 0)
        return;
    this->hardState.clusterId = 0;
    this->saveHardState();
}

void QuorumLog::advanceJoining()
{
    if (this->currentTime < this->joinDeadline)
        return;
    this->joinDeadline = this->currentTime + this->settings.electionTimeoutMax;
    if (this->hasRecentLeader() || this->leaveStep != LeaveStep::Member)
        return;
    if (this->isBootstrapper()) {
        for (const QuorumPeer &peer : this->settings.initialVoters) {
            if (peer.instance != this->settings.self.instance
                && this->observers.count(peer.instance) == 0)
                this->sendAfterSync(peer.instance, QuorumBootstrapQuery{this->header(0)});
        }
        if (isInitialVoter(this->settings, this->settings.self.instance))
            this->bootstrapIfPromised();
    }
    std::vector<QuorumPeer> peers = this->knownPeers();
    const bool isKnown = std::any_of(peers.begin(), peers.end(), [this](const QuorumPeer &peer) {
        return peer.instance == this->joinContact;
    });
    if (!this->joinContact.empty() && !isKnown)
        peers.push_back({this->joinContact, {}, {}});
    this->joinContactAsked = false;
    this->reportJoining(peers);
    for (const QuorumPeer &peer : peers)
        this->sendAfterSync(peer.instance, this->joinRequest());
}

QuorumJoin QuorumLog::joinRequest() const
{
    return {this->header(0), this->settings.self, this->mayBootstrap()};
}

// Asks a member that is not among the known peers: seeds may name only instances that have left or
// that are not members.
void QuorumLog::askToJoin(const InstanceId &member)
{
    if (this->isLeader() || this->hasRecentLeader() || this->leaveStep != LeaveStep::Member
        || member.empty() || member == this->settings.self.instance)
        return;
    this->joinContact = member;
    if (std::exchange(this->joinContactAsked, true))
        return;
    this->sendAfterSync(member, this->joinRequest());
}

void QuorumLog::handle(const InstanceId &, const QuorumJoinRedirect &redirect)
{
    if (this->leaveStep == LeaveStep::Leaving)
        this->leaveContact = redirect.leader.instance;
    this->askToJoin(redirect.leader.instance);
}

// An instance that nobody adds would otherwise leave no trace in the event log.
void QuorumLog::reportJoining(const std::vector<QuorumPeer> &asked)
{
    if (this->currentRole != QuorumRole::Unjoined || this->currentTime < this->joinReportAt)
        return;
    this->joinReportAt = this->currentTime + JoinReportInterval;
    std::vector<std::string> names;
    names.reserve(asked.size());
    for (const QuorumPeer &peer : asked)
        names.push_back(peer.instance.value);
    this->emitEvent("quorum_join_requested",
                    {{"peers", absl::StrJoin(names, ",")},
                     {"incarnation", absl::StrCat(this->hardState.incarnation)}});
    if (this->mayBootstrap())
        this->reportBootstrap();
}

// Names the instances without whose answer nobody can lead.
void QuorumLog::reportBootstrap() const
{
    std::vector<std::string> awaited;
    std::vector<std::string> withoutFolder;
    for (const QuorumPeer &peer : this->settings.initialVoters) {
        if (this->observers.count(peer.instance) != 0)
            withoutFolder.push_back(peer.instance.value);
        else if (peer.instance != this->settings.self.instance
                 && this->promises.count(peer.instance) == 0)
            awaited.push_back(peer.instance.value);
    }
    this->emitEvent("quorum_bootstrap_awaited",
                    {{"missing", absl::StrJoin(awaited, ",")},
                     {"without_folder", absl::StrJoin(withoutFolder, ",")},
                     {"bootstraps", this->isBootstrapper() ? "yes" : "no"}});
}

// Tells an instance that belongs to no cluster that this one does, so that the receiver withdraws
// its bootstrap promise.
void QuorumLog::answerNonMember(const InstanceId &to, const QuorumHeader &received)
{
    if (this->hardState.clusterId == 0 || received.clusterId != 0)
        return;
    QuorumBootstrapAnswer answer;
    answer.header = this->header(received.fromIncarnation);
    answer.hasState = true;
    this->sendAfterSync(to, answer);
}

void QuorumLog::handle(const InstanceId &from, const QuorumBootstrapQuery &query)
{
    const std::uint64_t asking = query.header.fromIncarnation;
    QuorumBootstrapAnswer answer;
    answer.hasState = this->hardState.clusterId != 0 || this->lastIndex() != 0;
    // Only an initial voter before this one may bootstrap.
    const InstanceId &self = this->settings.self.instance;
    const bool mayAsk =
        isInitialVoter(this->settings, from) && isInitialVoter(this->settings, self) && from < self;
    answer.promised = !answer.hasState && this->settings.bootstrap && mayAsk
                      && this->withdrawnPromises.count(asking) == 0;
    if (answer.promised && this->hardState.bootstrapPromise != asking) {
        this->withdrawnPromises.insert(this->hardState.bootstrapPromise);
        this->hardState.bootstrapPromise = asking;
        this->saveHardState();
    }
    answer.header = this->header(asking);
    this->sendAfterSync(from, answer);
}

void QuorumLog::handle(const InstanceId &from, const QuorumBootstrapAnswer &answer)
{
    if (!isInitialVoter(this->settings, from) || this->hardState.clusterId != 0)
        return;
    if (answer.isObserver) {
        this->observerAnswered(from, answer);
        return;
    }
    if (answer.hasState && this->hardState.bootstrapPromise != 0) {
        this->hardState.bootstrapPromise = 0;
        this->saveHardState();
    }
    if (!this->isBootstrapper())
        return;
    if (answer.hasState) {
        this->adoptCluster(answer.header.clusterId);
        this->emitEvent("quorum_bootstrap_declined",
                        {{"cause", "peer_holds_state"}, {"peer", from.value}});
        return;
    }
    if (answer.promised)
        this->promises[from] = answer.header.fromIncarnation;
    this->bootstrapIfPromised();
}

// A founder is named anew with each answer, so that the naming observer may forget it with its
// memory: only an answer that arrives while all observers are known counts.
void QuorumLog::observerAnswered(const InstanceId &from, const QuorumBootstrapAnswer &answer)
{
    this->observers.insert(from);
    if (!this->isBootstrapper())
        return;
    const bool isInitial = isInitialVoter(this->settings, this->settings.self.instance);
    if (isInitial || answer.promised)
        this->bootstrapIfPromised();
}

void QuorumLog::bootstrapIfPromised()
{
    QuorumMembership first;
    std::size_t awaited = 0;
    const QuorumMember self{this->settings.self, this->hardState.incarnation};
    if (!isInitialVoter(this->settings, self.peer.instance))
        first.voters.push_back(self);
    for (const QuorumPeer &peer : this->settings.initialVoters) {
        const auto promise = this->promises.find(peer.instance);
        if (peer.instance == self.peer.instance)
            first.voters.push_back({peer, self.incarnation});
        else if (promise != this->promises.end())
            first.voters.push_back({peer, promise->second});
        else if (this->observers.count(peer.instance) == 0)
            ++awaited;
    }
    if (awaited != 0)
        return;
    first.voterTarget = std::max(static_cast<std::uint32_t>(this->settings.initialVoters.size()),
                                 this->settings.voterTarget);
    this->adoptCluster(this->hardState.incarnation);
    this->hardState.term = std::max<std::uint64_t>(this->term(), 1);
    this->saveHardState();
    this->appendLocally(EntryKind::Membership, {}, first);
    this->currentRole = QuorumRole::Follower;
    this->electionDeadline = this->currentTime;
    this->emitEvent("quorum_bootstrapped", {{"cluster", absl::StrCat(this->hardState.clusterId)},
                                            {"voters", absl::StrCat(first.voters.size())},
                                            {"observers", absl::StrCat(this->observers.size())},
                                            {"cause", "all_initial_voters_empty"}});
}

bool QuorumLog::acceptsCluster(const QuorumHeader &received) const
{
    if (received.clusterId == 0)
        return true;
    if (this->hardState.clusterId != 0)
        return received.clusterId == this->hardState.clusterId;
    const std::uint64_t promise = this->hardState.bootstrapPromise;
    return promise == 0 || received.clusterId == promise;
}

void QuorumLog::adoptCluster(std::uint64_t clusterId)
{
    if (this->currentRole == QuorumRole::Unjoined && this->lastIndex() != 0)
        this->currentRole = QuorumRole::Follower;
    if (this->hardState.clusterId == clusterId)
        return;
    this->hardState.clusterId = clusterId;
    this->saveHardState();
}

} // namespace rhubarbweir
