// The traffic side of a proxy: its entry side (RequestRouter) and, for each group that it holds
// a grant of, its holder side (GroupHolder). Runs on the traffic thread only.
#pragma once

#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"
#include "rhubarbweir/coordination/proxy/proxy_view.hpp"

#include <memory>
#include <random>
#include <vector>

namespace rhubarbweir {

class ProxyNode
{
public:
    ProxyNode(ProxySettings settings, std::uint64_t seed, ProxyHooks hooks);
    ~ProxyNode();
    ProxyNode(const ProxyNode &) = delete;
    ProxyNode &operator=(const ProxyNode &) = delete;

    void callerOpened(CallerConnectionId connection);
    void callerMessage(CallerConnectionId connection, const CallerMessage &message, TimePoint now);
    // Ends the transactions that were begun on the connection.
    void callerClosed(CallerConnectionId connection, TimePoint now);

    void peerMessage(const InstanceId &peer, const PeerMessage &message, TimePoint now);
    void peerConnected(const InstanceId &peer, TimePoint now);
    // No connection to `peer` is left, or it could not be reached.
    void peerLost(const InstanceId &peer, TimePoint now);

    void targetOpened(Generation generation, const ConnectionOpened &message, TimePoint now);
    void targetRefused(Generation generation, OpenFailure failure, TimePoint now);
    void targetMessage(Generation generation, const TargetMessage &message, TimePoint now);
    // The connection is gone, whichever side closed it.
    void targetClosed(Generation generation, TimePoint now);

    void viewChanged(ProxyViewPtr view, TimePoint now);
    // No work is dispatched at or after `deadline`.
    void leaseChanged(TimePoint deadline, TimePoint now);
    // Takes no new sessions and no requests outside open transactions.
    void drain(TimePoint now);
    // Runs what is due. Call it at nextDeadline() at the latest.
    void advance(TimePoint now);

    TimePoint nextDeadline() const;
    // True once drain() was called and nothing is left that would be cut by a stop.
    bool isDrained() const;
    // State of every target that this proxy holds a grant of, for ViewSubscriber.
    std::vector<TargetObservation> observations() const;
    ProxyCounters counters() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbweir
