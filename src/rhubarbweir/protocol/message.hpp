// Variant of all message types of the wire format.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/coordination/control/operator_messages.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/proxy/caller_messages.hpp"
#include "rhubarbweir/coordination/proxy/peer_messages.hpp"
#include "rhubarbweir/coordination/proxy/target_messages.hpp"
#include "rhubarbweir/coordination/quorum/quorum_messages.hpp"
#include "rhubarbweir/coordination/sessions/relay_messages.hpp"

#include <variant>

namespace rhubarbweir {

using Message = std::variant<
    OpenSession, SessionOpened, MoveSession, CallerRequest, CallerAnswer, PeerHello, ForwardRequest,
    ForwardAnswer, EndTransaction, OpenConnection, ConnectionOpened, ConnectionRefused, Statement,
    StatementReply, StatusProbe, TargetStatus, Announcement, FenceTarget, TargetFenced,
    PromoteTarget, TargetPromoted, FollowPrimary, RenewLease, LeaseGranted, LeaseRefused,
    ViewChanged, TableEdit, TableEditResult, TableQuery, TableRows, InForceQuery, InForceReport,
    StatusQuery, StatusReport, PlannedChange, PlannedChangeResult, DrainInstance, DrainStarted,
    ReplicateEntries, ReplicateAnswer, ObserverReport, QuorumBootstrapQuery, QuorumBootstrapAnswer,
    QuorumJoin, QuorumVoteRequest, QuorumVoteAnswer, QuorumAppend, QuorumAppendAnswer,
    QuorumSnapshotChunk, QuorumSnapshotAnswer, QuorumTimeoutNow, FleetLease, FleetRedirect,
    PositionReport, QuorumJoinRedirect, QuorumLeave, QuorumLeaveAnswer, RelayOpen, RelayStatement,
    RelayAnswer, RelayClose, RelayEnded, RelayPing, TokenRequest, TokenAnswer, AnnouncementBatch,
    AnnouncementAnswers>;

} // namespace rhubarbweir
