// Entry side of a proxy: accepts requests from callers, forwards each to a holder, and answers
// every request exactly once, at its deadline at the latest.
#pragma once

#include "rhubarbweir/coordination/proxy/holder_selector.hpp"
#include "rhubarbweir/coordination/proxy/pending_request.hpp"
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
    // Sends to a holder, which may be this proxy itself.
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
    // Updates the load of this proxy's own holder side of a group.
    void updateLoad(const GroupId &group, const InstanceId &holder, const HolderLoad &load);
    void drain(TimePoint now);
    void advance(TimePoint now);
    TimePoint nextDeadline() const;

    // No request is unanswered and no transaction is open.
    bool isIdle() const;
    std::size_t inFlight() const { return this->requests.size(); }
    ProxyCounters counters() const { return this->totals; }

private:
    // An unanswered request.
    struct RoutedRequest
    {
        CallerConnectionId connection = 0;
        CallerRequest request;
        TimePoint deadline;
        // 0 while the request is not at a holder.
        std::uint64_t forwardId = 0;
        InstanceId holder;
        // Forwards query the outcome of `request` instead of executing it.
        bool asksOutcome = false;
        // A holder may have executed it; from then on only Reason::Sealed proves NotRun.
        bool mayHaveRun = false;
        std::uint32_t attempts = 0;
        // Number of backoff delays so far.
        std::uint32_t backoffs = 0;
        std::set<InstanceId> refusedBy;
        // When the request is sent (again) or, while it is forwarded, the forward times out.
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
    void handleRequest(CallerConnectionId connection, const CallerRequest &message, TimePoint now);
    // Why a request is refused; None if it is accepted.
    Reason refusalReason(CallerConnectionId connection, const CallerRequest &message,
                         TimePoint now);
    Reason transactionRefusalReason(CallerConnectionId connection, const CallerRequest &message);
    // True if the id belongs to a request in flight; the message is then fully handled.
    bool handleDuplicate(CallerConnectionId connection, const CallerRequest &message);
    void send(const RequestKey &key, TimePoint now);
    void sendTo(RoutedRequest &routed, const HolderView &holder, TimePoint now);
    void handleAnswer(const RequestKey &key, CallerAnswer answer, TimePoint now);
    // No answer to the forward is expected any more; the holder may have executed it.
    void handleForwardLost(const RequestKey &key, TimePoint now);
    void scheduleRetry(RoutedRequest &routed, TimePoint now);
    void expire(const RequestKey &key, TimePoint now);
    void updateTransaction(const RoutedRequest &routed, const CallerAnswer &answer, TimePoint now);
    void endTransaction(const RequestKey &key);
    void finish(const RequestKey &key, CallerAnswer answer);
    void finish(const RequestKey &key, Outcome outcome, Reason reason);
    void setWakeTime(const RequestKey &key, RoutedRequest &routed, TimePoint wakeAt);
    void count(const CallerAnswer &answer);
    const GroupView *groupOf(const CallerRequest &request) const;

    const ProxySettings &settings;
    RequestRouterHooks hooks;
    std::mt19937_64 &random;
    ProxyViewPtr view;
    TimePoint leaseEnd;
    bool draining = false;
    std::map<CallerConnectionId, CallerSession> sessions;
    std::map<RequestKey, RoutedRequest> requests;
    // Forwards in flight, by forward id; each belongs to exactly one request.
    std::map<std::uint64_t, RequestKey> forwards;
    std::map<RequestKey, EntryTransaction> transactions;
    // `deadlines` contains each entry of `requests` once, `wakeups` each one with a `wakeAt`.
    std::set<std::pair<TimePoint, RequestKey>> deadlines;
    std::set<std::pair<TimePoint, RequestKey>> wakeups;
    HolderSelector holderSelector;
    RetryBudget retryBudget;
    std::uint64_t lastForward = 0;
    std::uint64_t lastSession = 0;
    ProxyCounters totals;
};

} // namespace rhubarbweir
