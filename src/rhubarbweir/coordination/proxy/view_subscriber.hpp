// Keeps a proxy's lease and view: renews at one control instance, follows the leader, and never
// takes a view older than the one in force. Runs on the control thread.
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
    // New for each start of the process.
    std::uint64_t incarnation = 0;
    // Control instances, tried in this order from the first.
    std::vector<std::string> controlAddresses;
    // Empty subscribes to all groups.
    std::vector<GroupId> groups;
    Duration renewInterval = std::chrono::milliseconds(400);
    // The next instance is tried after so long without an answer.
    Duration answerTimeout = std::chrono::milliseconds(300);
    // Taken off every lease for clocks of different speed: one part in so many.
    std::int64_t driftDivisor = 100;
};

struct ViewSubscriberHooks
{
    // Sends to the instance of the last useControl().
    std::function<void(const RenewLease &)> send;
    // Connects to another control instance; drops the former connection.
    std::function<void(const std::string &address)> useControl;
    std::function<void(ProxyViewPtr)> viewChanged;
    // The lease ends at the given point; it never moves back.
    std::function<void(TimePoint)> leaseChanged;
};

class ViewSubscriber
{
public:
    ViewSubscriber(ViewSubscriberSettings settings, ViewSubscriberHooks hooks);

    // Connects to the first control instance and sends the first renewal.
    void start(TimePoint now);
    // Carried by the following renewals; a changed state is reported at once.
    void setObservations(std::vector<TargetObservation> observations, TimePoint now);
    void setDraining(bool draining, TimePoint now);

    // The connection to the current control instance opened: renews at once.
    void connected(TimePoint now);
    // It closed or could not be opened: the next instance is tried.
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
    // False when the delta is older than the view or does not connect to it.
    bool apply(const ViewDelta &delta);

    ViewSubscriberSettings settings;
    ViewSubscriberHooks hooks;
    // Never null; starts empty at revision 0, so nothing survives a restart.
    ProxyViewPtr view = std::make_shared<ProxyView>();
    // Greatest revision seen of each group, removed ones too; none comes back older.
    std::map<GroupId, std::uint64_t> newestGroups;
    // Never moves back.
    TimePoint leaseEnd;
    std::vector<TargetObservation> observations;
    bool draining = false;
    std::string controlAddress;
    bool isConnected = false;
    std::size_t nextControl = 0;
    std::uint64_t lastSequence = 0;
    // Renewals whose answer may still come, oldest first; bounded.
    std::vector<SentRenewal> unanswered;
    TimePoint renewAt;
    // When the connection or the answer to a renewal is overdue; max() while none is awaited.
    TimePoint overdueAt = TimePoint::max();
};

} // namespace rhubarbweir
