// JSON conversions of message and state structures, grouped by the header that defines them. The
// macros write each member under its own name, so renaming a member changes the wire format.
#pragma once

#include "rhubarbweir/protocol/internal/json_basics.hpp"
#include "rhubarbweir/protocol/message.hpp"

#include <nlohmann/json.hpp>

namespace rhubarbweir {

// log_position.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogPosition, term, position)

// request_key.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestKey, session, request)

// session_token.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SessionToken, seen)

// table_row.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RowKey, scope, name, field)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TableRow, key, value, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RowChange, key, expectedVersion, value, remove)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RowProblem, key, fault, expected)

// caller_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpenSession, caller, session, token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SessionOpened, session, proxy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MoveSession, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerRequest, caller, session, requestId, kind, group,
                                   transaction, key, value, operation, consistency, maxAge,
                                   repeatable, timeLeft, askedRequestId, token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerAnswer, session, requestId, outcome, reason, retryAfter,
                                   key, value, group, servedBy, servedByReplica, position, token)

// peer_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerHello, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForwardRequest, forwardId, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForwardAnswer, forwardId, answer, queued, slotsFree)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndTransaction, group, session, transaction)

// target_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetStatus, probeId, target, group, role, adoptedTerm,
                                   received, applied)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpenConnection, holder, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConnectionOpened, generation, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConnectionRefused, generation, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Statement, generation, request, kind, term, minimum, key, value,
                                   operation, transaction, asked, timeLeft)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatementReply, generation, request, result, position, key,
                                   value, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusProbe, probeId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HolderUse, holder, connections, slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Announcement, status, address, failureDomain, uses)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FenceTarget, group, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetFenced, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerAddress, target, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromoteTarget, group, term, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetPromoted, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FollowPrimary, group, term, primary)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyChange, key, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, at, kind, requests, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicateEntries, group, primary, term, sequence, previous,
                                   entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicateAnswer, group, target, term, sequence, accepted, held)

// control_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetView, target, address, failureDomain, weight, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetGrant, target, slots, connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HolderView, proxy, address, failureDomain, epoch, grants)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupView, group, revision, size, term, primary, writesHeld,
                                   queueLimit, targets, holders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ViewDelta, fromRevision, toRevision, groups, removed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetObservation, target, group, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ObserverReport, instance, failureDomain, observations)
// A list, because renewals hold one for each team in use.
inline void to_json(nlohmann::json &to, const TeamTokenUse &use)
{
    to = nlohmann::json::array({use.team, use.spent, use.held, use.waiting, use.wanted});
    if (use.spentUncounted != 0)
        to.push_back(use.spentUncounted);
}
inline void from_json(const nlohmann::json &from, TeamTokenUse &use)
{
    from.at(0).get_to(use.team);
    from.at(1).get_to(use.spent);
    from.at(2).get_to(use.held);
    from.at(3).get_to(use.waiting);
    from.at(4).get_to(use.wanted);
    use.spentUncounted = from.size() > 5 ? from.at(5).get<std::uint32_t>() : 0;
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TokenReport, sequence, epoch, teams)
inline void to_json(nlohmann::json &to, const RenewLease &renewal)
{
    to = {{"proxy", renewal.proxy},
          {"address", renewal.address},
          {"failureDomain", renewal.failureDomain},
          {"incarnation", renewal.incarnation},
          {"sequence", renewal.sequence},
          {"revision", renewal.revision},
          {"draining", renewal.draining},
          {"answered", renewal.answered},
          {"isObserver", renewal.isObserver},
          {"groups", renewal.groups},
          {"observations", renewal.observations},
          {"configurationVersion", renewal.configurationVersion},
          {"overloadedGroups", renewal.overloadedGroups}};
    if (renewal.peersVersion)
        to["peersVersion"] = *renewal.peersVersion;
    if (renewal.tokens)
        to["tokens"] = *renewal.tokens;
}
inline void from_json(const nlohmann::json &from, RenewLease &renewal)
{
    from.at("proxy").get_to(renewal.proxy);
    from.at("address").get_to(renewal.address);
    from.at("failureDomain").get_to(renewal.failureDomain);
    from.at("incarnation").get_to(renewal.incarnation);
    from.at("sequence").get_to(renewal.sequence);
    from.at("revision").get_to(renewal.revision);
    from.at("draining").get_to(renewal.draining);
    from.at("answered").get_to(renewal.answered);
    from.at("isObserver").get_to(renewal.isObserver);
    from.at("groups").get_to(renewal.groups);
    from.at("observations").get_to(renewal.observations);
    from.at("configurationVersion").get_to(renewal.configurationVersion);
    from.at("overloadedGroups").get_to(renewal.overloadedGroups);
    // Absent from versions without relayed sessions.
    renewal.peersVersion.reset();
    if (const auto found = from.find("peersVersion"); found != from.end())
        renewal.peersVersion = found->get<std::uint64_t>();
    // Absent from versions without team limits.
    renewal.tokens.reset();
    if (const auto found = from.find("tokens"); found != from.end())
        renewal.tokens = found->get<TokenReport>();
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseGranted, sequence, leaseFor, delta)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseRefused, sequence, leaderAddress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ViewChanged, delta)

// operator_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TableEdit, requestId, editor, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TableEditResult, requestId, outcome, revision, conflicts,
                                   problems, leaderAddress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TableQuery, namePrefix)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TableRows, revision, rows, leaderAddress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InForceQuery, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProxyStatus, proxy, address, failureDomain, revision, leaseValid,
                                   draining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InForceReport, revision, currentRevision, behind, inForce,
                                   leaderAddress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusQuery, group)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoterStatus, instance, address, failureDomain, voter, reachable,
                                   matchedIndex)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ActionRecord, revision, subject, action, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusReport, leader, leaderAddress, quorumTerm, revision,
                                   voters, proxies, groups, recentActions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlannedChange, requestId, group, target)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlannedChangeResult, requestId, accepted, leaderAddress, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainInstance, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainStarted, instance, callers)

// quorum_entry.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumPeer, instance, address, failureDomain)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumMember, peer, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumMembership, voters, learners, voterTarget, admitted,
                                   barred)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumEntry, index, term, kind, payload, membership)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumSnapshot, index, term, membership, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumHardState, incarnation, clusterId, bootstrapPromise, term,
                                   votedFor, votedForIncarnation)

// quorum_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumHeader, clusterId, fromIncarnation, toIncarnation, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumBootstrapQuery, header)
inline void to_json(nlohmann::json &to, const QuorumBootstrapAnswer &answer)
{
    to = {{"header", answer.header},
          {"promised", answer.promised},
          {"hasState", answer.hasState},
          {"isObserver", answer.isObserver}};
}
inline void from_json(const nlohmann::json &from, QuorumBootstrapAnswer &answer)
{
    from.at("header").get_to(answer.header);
    from.at("promised").get_to(answer.promised);
    from.at("hasState").get_to(answer.hasState);
    // Absent from messages of versions in which observers did not answer.
    answer.isObserver = from.value("isObserver", false);
}
inline void to_json(nlohmann::json &to, const QuorumJoin &join)
{
    to = {{"header", join.header}, {"peer", join.peer}, {"mayBootstrap", join.mayBootstrap}};
}
inline void from_json(const nlohmann::json &from, QuorumJoin &join)
{
    from.at("header").get_to(join.header);
    from.at("peer").get_to(join.peer);
    // Absent from messages of versions in which observers did not answer.
    join.mayBootstrap = from.value("mayBootstrap", false);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumVoteRequest, header, phase, lastIndex, lastTerm, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumVoteAnswer, header, phase, electionTerm, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumAppend, header, sequence, previousIndex, previousTerm,
                                   commitIndex, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumAppendAnswer, header, sequence, accepted, matchIndex,
                                   nextIndex)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumSnapshotChunk, header, sequence, index, indexTerm,
                                   membership, offset, bytes, last)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumSnapshotAnswer, header, sequence, index, nextOffset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumTimeoutNow, header)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumJoinRedirect, header, leader)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumLeave, header)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuorumLeaveAnswer, header, removed)

// fleet_state.hpp, fleet_messages.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisteredTarget, target, group, address, failureDomain, phase,
                                   slots, born, sequence, reportsPrimary)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TermStart, term, position)
inline void to_json(nlohmann::json &to, const PrimaryAuthority &authority)
{
    to = {{"group", authority.group},         {"generation", authority.generation},
          {"primary", authority.primary},     {"term", authority.term},
          {"former", authority.former},       {"candidate", authority.candidate},
          {"revokedAt", authority.revokedAt}, {"chooser", authority.chooser},
          {"token", authority.token}};
    if (!authority.termStarts.empty())
        to["termStarts"] = authority.termStarts;
}
inline void from_json(const nlohmann::json &from, PrimaryAuthority &authority)
{
    from.at("group").get_to(authority.group);
    from.at("generation").get_to(authority.generation);
    from.at("primary").get_to(authority.primary);
    // Absent from snapshots and views of versions that did not record terms.
    authority.term = from.value("term", std::uint64_t{0});
    authority.termStarts = from.value("termStarts", std::vector<TermStart>());
    from.at("former").get_to(authority.former);
    from.at("candidate").get_to(authority.candidate);
    from.at("revokedAt").get_to(authority.revokedAt);
    from.at("chooser").get_to(authority.chooser);
    from.at("token").get_to(authority.token);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetView, revision, baseRevision, targets, removedTargets,
                                   authorities, controls)
// A list, because the names of the members would be most of the bytes of an answer to a renewal.
inline void to_json(nlohmann::json &to, const GroupPosition &known)
{
    to = nlohmann::json::array(
        {known.group, known.generation, known.position.term, known.position.position, known.age});
}
inline void from_json(const nlohmann::json &from, GroupPosition &known)
{
    from.at(0).get_to(known.group);
    from.at(1).get_to(known.generation);
    from.at(2).get_to(known.position.term);
    from.at(3).get_to(known.position.position);
    from.at(4).get_to(known.age);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PositionReport, answered, positions)
// A list, because an answer holds one for each pooler of a failure domain.
inline void to_json(nlohmann::json &to, const PoolerPeer &peer)
{
    to = nlohmann::json::array({peer.instance, peer.address});
}
inline void from_json(const nlohmann::json &from, PoolerPeer &peer)
{
    from.at(0).get_to(peer.instance);
    from.at(1).get_to(peer.address);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PoolerPeers, version, failureDomains, peers)
// A list, as for TeamTokenUse.
inline void to_json(nlohmann::json &to, const TeamTokenGrant &grant)
{
    to = nlohmann::json::array({grant.team, grant.tokens, grant.exhausted});
}
inline void from_json(const nlohmann::json &from, TeamTokenGrant &grant)
{
    from.at(0).get_to(grant.team);
    from.at(1).get_to(grant.tokens);
    from.at(2).get_to(grant.exhausted);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TokenAnswer, sequence, epoch, needsWholeReport, lifetime, grants)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TokenRequest, proxy, incarnation, report)
inline void to_json(nlohmann::json &to, const FleetLease &lease)
{
    to = {{"sequence", lease.sequence},
          {"leaseFor", lease.leaseFor},
          {"view", lease.view},
          {"poolers", lease.poolers},
          {"formerPoolers", lease.formerPoolers},
          {"positions", lease.positions},
          {"configurationVersion", lease.configurationVersion},
          {"configuration", lease.configuration},
          {"packedView", lease.packedView}};
    if (lease.peers)
        to["peers"] = *lease.peers;
    if (lease.tokens)
        to["tokens"] = *lease.tokens;
    if (lease.configurationBase != 0)
        to["configurationBase"] = lease.configurationBase;
    if (lease.relaysAnnouncements)
        to["relaysAnnouncements"] = true;
}
inline void from_json(const nlohmann::json &from, FleetLease &lease)
{
    from.at("sequence").get_to(lease.sequence);
    from.at("leaseFor").get_to(lease.leaseFor);
    from.at("view").get_to(lease.view);
    from.at("poolers").get_to(lease.poolers);
    from.at("formerPoolers").get_to(lease.formerPoolers);
    from.at("positions").get_to(lease.positions);
    from.at("configurationVersion").get_to(lease.configurationVersion);
    from.at("configuration").get_to(lease.configuration);
    from.at("packedView").get_to(lease.packedView);
    // Absent from versions without relayed sessions, and if the pooler has the peers.
    lease.peers.reset();
    if (const auto found = from.find("peers"); found != from.end())
        lease.peers = found->get<PoolerPeers>();
    // Absent from versions without team limits, and if the renewal had no report.
    lease.tokens.reset();
    if (const auto found = from.find("tokens"); found != from.end())
        lease.tokens = found->get<TokenAnswer>();
    lease.configurationBase = from.value("configurationBase", std::uint64_t{0});
    lease.relaysAnnouncements = from.value("relaysAnnouncements", false);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetRedirect, leader)
// A list, because a batch holds one for each target of the sender.
inline void to_json(nlohmann::json &to, const TargetHeartbeat &heartbeat)
{
    to = nlohmann::json::array(
        {heartbeat.target, heartbeat.born, heartbeat.since, heartbeat.sequence});
}
inline void from_json(const nlohmann::json &from, TargetHeartbeat &heartbeat)
{
    from.at(0).get_to(heartbeat.target);
    from.at(1).get_to(heartbeat.born);
    from.at(2).get_to(heartbeat.since);
    from.at(3).get_to(heartbeat.sequence);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnouncementBatch, number, announcements, heartbeats)
inline void to_json(nlohmann::json &to, const AnnouncementAnswer &answer)
{
    to = {{"target", answer.target},
          {"born", answer.born},
          {"sequence", answer.sequence},
          {"isAccepted", answer.isAccepted},
          {"isRegistered", answer.isRegistered}};
}
inline void from_json(const nlohmann::json &from, AnnouncementAnswer &answer)
{
    from.at("target").get_to(answer.target);
    from.at("born").get_to(answer.born);
    from.at("sequence").get_to(answer.sequence);
    from.at("isAccepted").get_to(answer.isAccepted);
    // Absent from answers of versions that registered every accepted target.
    answer.isRegistered = from.value("isRegistered", answer.isAccepted);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnouncementAnswers, number, answers, unknown)

// relay_messages.hpp. Lists, because these are sent for each statement.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayOpen, relay, database, key)
inline void to_json(nlohmann::json &to, const RelayStatement &message)
{
    const TextStatement &statement = message.statement;
    to = nlohmann::json::array({message.relay, statement.id, statement.kind, statement.readOnly,
                                statement.name, statement.argument, statement.text});
}
inline void from_json(const nlohmann::json &from, RelayStatement &message)
{
    TextStatement &statement = message.statement;
    from.at(0).get_to(message.relay);
    from.at(1).get_to(statement.id);
    from.at(2).get_to(statement.kind);
    from.at(3).get_to(statement.readOnly);
    from.at(4).get_to(statement.name);
    from.at(5).get_to(statement.argument);
    from.at(6).get_to(statement.text);
}
inline void to_json(nlohmann::json &to, const RelayAnswer &message)
{
    const StatementAnswer &answer = message.answer;
    to = nlohmann::json::array({message.relay, answer.rows, answer.signature, answer.detail,
                                answer.state, nullptr, nullptr});
    if (answer.fault)
        to[5] = *answer.fault;
    if (answer.position)
        to[6] = *answer.position;
}
inline void from_json(const nlohmann::json &from, RelayAnswer &message)
{
    StatementAnswer &answer = message.answer;
    from.at(0).get_to(message.relay);
    from.at(1).get_to(answer.rows);
    from.at(2).get_to(answer.signature);
    from.at(3).get_to(answer.detail);
    from.at(4).get_to(answer.state);
    answer.fault.reset();
    if (!from.at(5).is_null())
        answer.fault = from.at(5).get<StatementFault>();
    answer.position.reset();
    if (!from.at(6).is_null())
        answer.position = from.at(6).get<LogPosition>();
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayClose, relay)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayEnded, relay, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayPing, isAnswer)

} // namespace rhubarbweir
