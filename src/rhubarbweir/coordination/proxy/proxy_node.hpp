// Traffic side of a proxy: the entry side (RequestRouter) and a holder side (GroupHolder) for each
// group that the proxy holds grants of. Must be used on the traffic thread only.
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
    // Aborts the transactions that were begun on the connection.
    void callerClosed(CallerConnectionId connection, TimePoint now);

    void peerMessage(const InstanceId &peer, const PeerMessage &message, TimePoint now);
    void peerConnected(const InstanceId &peer, TimePoint now);
    // The last connection to `peer` was lost, or `peer` could not be reached.
    void peerLost(const InstanceId &peer, TimePoint now);

    void targetOpened(Generation generation, const ConnectionOpened &message, TimePoint now);
    void targetRefused(Generation generation, OpenFailure failure, TimePoint now);
    void targetMessage(Generation generation, const TargetMessage &message, TimePoint now);
    // The connection is closed, by either side.
    void targetClosed(Generation generation, TimePoint now);

    void viewChanged(ProxyViewPtr view, TimePoint now);
    // No statement is sent at or after `deadline`.
    void leaseChanged(TimePoint deadline, TimePoint now);
    // Refuses new sessions, and requests outside open transactions, from now on.
    void drain(TimePoint now);
    // Handles expired deadlines and timers. Must be called at nextDeadline() at the latest.
    void advance(TimePoint now);

    TimePoint nextDeadline() const;
    // True once drain() was called and stopping would interrupt no request or transaction.
    bool isDrained() const;
    // Health of every target that this proxy holds a grant of, as ViewSubscriber reports it.
    std::vector<TargetObservation> observations() const;
    ProxyCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace rhubarbweir
