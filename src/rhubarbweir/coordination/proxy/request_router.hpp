// The entry side of a proxy: takes callers' requests, chooses the holder that runs each, and
// answers every request exactly once, at its deadline at the latest.
#pragma once

#include "rhubarbweir/coordination/proxy/holder_choice.hpp"
#include "rhubarbweir/coordination/proxy/holder_work.hpp"
#include "rhubarbweir/coordination/proxy/proxy_view.hpp"
#include "rhubarbweir/coordination/proxy/retry_budget.hpp"

#include <map>
#include <random>
#include <set>
#include <utility>

namespace rhubarbweir {

struct RequestRouterHooks
{
    std::function<void(CallerConnectionId, const CallerReply &)> answerCaller;
    // Sends to a holder, which may be this proxy.
    std::function<void(const InstanceId &, const std::string &address, const PeerMessage &)>
        sendHolder;
    std::function<void(const ProxyEvent &)> event;
};

class RequestRouter
{
public:
    RequestRouter(const ProxySettings &settings, RequestRouterHooks hooks, std::mt19937_64 &random);

    void callerOpened(CallerConnectionId connection);
    void callerMessage(CallerConnectionId connection, const CallerMessage &message, TimePoint now);
    void callerClosed(CallerConnectionId connection, TimePoint now);
    void holderAnswered(const InstanceId &holder, const ForwardAnswer &message, TimePoint now);
    void peerConnected(const InstanceId &peer);
    void peerLost(const InstanceId &peer, TimePoint now);

    void setView(ProxyViewPtr newView) { this->view = std::move(newView); }
    void setLease(TimePoint deadline) { this->leaseEnd = deadline; }
    // Load of this proxy's own holder side of a group.
    void noteLoad(const GroupId &group, const InstanceId &holder, const HolderLoad &load);
    void drain(TimePoint now);
    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    // No request is unanswered and no transaction open.
    bool isIdle() const;
    std::size_t inFlight() const { return this->requests.size(); }
    ProxyCounters counters() const { return this->totals; }

private:
    // A request that is not answered yet.
    struct Routed
    {
        CallerConnectionId connection = 0;
        CallerRequest request;
        TimePoint deadline;
        // 0 while no holder has it.
        std::uint64_t forwardId = 0;
        InstanceId holder;
        // What the holder was sent asks for the outcome of `request`.
        bool asksOutcome = false;
        // A holder may have run it; only a sealed id is NotRun from then on.
        bool mayHaveRun = false;
        std::uint32_t attempts = 0;
        // Pauses taken, for the backoff.
        std::uint32_t pauses = 0;
        std::set<InstanceId> refusedBy;
        // When it is sent (again), or an unanswered forward is given up.
        TimePoint wakeAt = TimePoint::max();
        Reason lastReason = Reason::NoHolder;
    };
    struct EntryTransaction
    {
        CallerConnectionId connection = 0;
        GroupId group;
        InstanceId holder;
        TimePoint deadline;
        bool hasEnded = false;
    };
    struct CallerSession
    {
        CallerId caller;
        // Empty until the session is open.
        SessionId session;
    };

    void openSession(CallerConnectionId connection, const OpenSession &message);
    void request(CallerConnectionId connection, const CallerRequest &message, TimePoint now);
    // Why a request cannot be taken; None when it can.
    Reason refusalOf(CallerConnectionId connection, const CallerRequest &message, TimePoint now);
    Reason transactionRefusal(CallerConnectionId connection, const CallerRequest &message);
    // True when the message was a second copy of a request in flight.
    bool joinDuplicate(CallerConnectionId connection, const CallerRequest &message);
    void send(const RequestKey &key, TimePoint now);
    void sendTo(Routed &routed, const HolderView &holder, TimePoint now);
    void answered(const RequestKey &key, CallerAnswer answer, TimePoint now);
    // What was sent to the holder may have run, and no answer will come.
    void forwardLost(const RequestKey &key, TimePoint now);
    void retryLater(Routed &routed, TimePoint now);
    void expire(const RequestKey &key, TimePoint now);
    void noteTransaction(const Routed &routed, const CallerAnswer &answer, TimePoint now);
    void endTransaction(const RequestKey &key);
    void finish(const RequestKey &key, CallerAnswer answer);
    void finish(const RequestKey &key, Outcome outcome, Reason reason);
    void setWake(const RequestKey &key, Routed &routed, TimePoint wakeAt);
    void count(const CallerAnswer &answer);
    const GroupView *groupOf(const CallerRequest &request) const;

    const ProxySettings &settings;
    RequestRouterHooks hooks;
    std::mt19937_64 &random;
    ProxyViewPtr view;
    TimePoint leaseEnd;
    bool draining = false;
    std::map<CallerConnectionId, CallerSession> sessions;
    std::map<RequestKey, Routed> requests;
    // The forwards in flight; each belongs to one request.
    std::map<std::uint64_t, RequestKey> forwards;
    std::map<RequestKey, EntryTransaction> transactions;
    // Both hold each request in `requests` once (wakeups: those with a wakeAt).
    std::set<std::pair<TimePoint, RequestKey>> deadlines;
    std::set<std::pair<TimePoint, RequestKey>> wakeups;
    HolderChoice choice;
    RetryBudget budget;
    std::uint64_t lastForward = 0;
    std::uint64_t lastSession = 0;
    ProxyCounters totals;
};

} // namespace rhubarbweir
