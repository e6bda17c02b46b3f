// Maintains a proxy's lease and view: renews the lease at one control instance, follows redirects
// to the leader, and never accepts a view older than the current one. Runs on the control thread.
#pragma once

#include "rhubarbweir/coordination/proxy/proxy_view.hpp"

#include <functional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct ViewSubscriberSettings
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;
    // Differs for each start of the process.
    std::uint64_t incarnation = 0;
    // Control instances, tried in this order from the first.
    std::vector<std::string> controlAddresses;
    // Empty subscribes to all groups.
    std::vector<GroupId> groups;
    Duration renewInterval = std::chrono::milliseconds(400);
    // The next control instance is tried after this long without an answer.
    Duration answerTimeout = std::chrono::milliseconds(300);
    // Every lease is shortened by 1/driftDivisor, because the clocks of proxy and control may run
    // at different speeds.
    std::int64_t driftDivisor = 100;
};

struct ViewSubscriberHooks
{
    // Sends to the control instance of the last useControl().
    std::function<void(const RenewLease &)> send;
    // Connects to another control instance and closes the former connection.
    std::function<void(const std::string &address)> useControl;
    std::function<void(ProxyViewPtr)> viewChanged;
    // The lease was extended to the given time; never called with an earlier one.
    std::function<void(TimePoint)> leaseChanged;
};

class ViewSubscriber
{
public:
    ViewSubscriber(ViewSubscriberSettings settings, ViewSubscriberHooks hooks);

    // Connects to the first control instance and sends the first renewal.
    void start(TimePoint now);
    // Included in all following renewals; a changed state triggers one immediately.
    void setObservations(std::vector<TargetObservation> observations, TimePoint now);
    void setDraining(bool draining, TimePoint now);

    // The connection to the current control instance is open; renews immediately.
    void connected(TimePoint now);
    // The connection closed or could not be opened; the next instance is tried after a delay.
    void disconnected(TimePoint now);
    void receive(const LeaseGranted &message, TimePoint now);
    void receive(const LeaseRefused &message, TimePoint now);
    void receive(const ViewChanged &message, TimePoint now);

    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    std::uint64_t revision() const { return this->view->revision; }
    ProxyViewPtr currentView() const { return this->view; }
    TimePoint leaseDeadline() const { return this->leaseEnd; }

private:
    struct SentRenewal
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
    };

    void renew(TimePoint now);
    void useNextControl(TimePoint now);
    void useAddress(const std::string &address, TimePoint now);
    // False if the delta is older than the view or starts after its revision.
    bool apply(const ViewDelta &delta);

    ViewSubscriberSettings settings;
    ViewSubscriberHooks hooks;
    // Never null. Starts empty at revision 0: no view is kept over a restart.
    ProxyViewPtr view = std::make_shared<ProxyView>();
    // Highest revision seen of each group, including removed ones, to reject older versions.
    std::map<GroupId, std::uint64_t> newestGroupRevisions;
    // Never decreases.
    TimePoint leaseEnd;
    std::vector<TargetObservation> observations;
    bool draining = false;
    std::string controlAddress;
    bool isConnected = false;
    std::size_t nextControl = 0;
    std::uint64_t lastSequence = 0;
    // Renewals whose answer may still arrive, oldest first; bounded.
    std::vector<SentRenewal> unanswered;
    TimePoint renewAt;
    // When opening the connection or the answer to a renewal times out; max() if none is awaited.
    TimePoint overdueAt = TimePoint::max();
};

} // namespace rhubarbweir
