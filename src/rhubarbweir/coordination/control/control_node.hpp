// A control instance's decisions: applies the control log and, while it leads, keeps the
// groups' primaries, the proxies' leases and grants, and answers operators.
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
    // From a control instance that does not lead.
    void receiveFromControl(const InstanceId &from, const ObserverReport &message, TimePoint now);
    void connectionClosed(ConnectionId connection, TimePoint now);

    // The quorum log committed `payload`; called in index order on every instance.
    void applied(std::uint64_t index, std::string_view payload, TimePoint now);
    // This instance began or ceased to lead, or another leader became known.
    void leadershipChanged(TimePoint now);
    // Runs what is due. Call it at nextDeadline() at the latest.
    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    // The state after the last applied command.
    std::string snapshot() const;
    // Replaces the state. Errors: those of StateCodec::decodeSnapshot; nothing is changed then.
    absl::Status restore(std::string_view snapshot, TimePoint now);

    const ReplicatedState &state() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbweir
