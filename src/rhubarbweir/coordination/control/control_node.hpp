// Makes the decisions of a control instance: applies the control log and, while leading, manages
// the primaries of the groups, the leases and grants of the proxies, and the requests of operators.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace rhubarbweir {

class ControlNode
{
public:
    ControlNode(ControlSettings settings, QuorumPort quorum, StateCodec codec, ControlHooks hooks,
                std::uint64_t seed);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    void receiveFromProxy(ConnectionId connection, const RenewLease &message, TimePoint now);
    void receiveFromTarget(ConnectionId connection, const TargetReport &message, TimePoint now);
    void receiveFromOperator(ConnectionId connection, const OperatorRequest &message,
                             TimePoint now);
    // A report from a control instance that is not the leader.
    void receiveFromControl(const InstanceId &from, const ObserverReport &message, TimePoint now);
    void connectionClosed(ConnectionId connection, TimePoint now);

    // The quorum log committed `payload`. Called in index order on every instance.
    void applied(std::uint64_t index, std::string_view payload, TimePoint now);
    // This instance started or stopped leading, or another leader became known.
    void leadershipChanged(TimePoint now);
    // Performs work that is due. Has to be called at nextDeadline() at the latest.
    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    // Serializes the state after the last applied command.
    std::string snapshot() const;
    // Replaces the state. Errors: those of StateCodec::decodeSnapshot, in which case nothing
    // changes.
    absl::Status restore(std::string_view snapshot, TimePoint now);

    const ReplicatedState &state() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbweir
