// Composes the messages of the leader to poolers: leases, views and configuration documents.
//
// A pooler receives what changed since the view that it holds, and the whole view only where the
// changes are not known. Each change is sent once on a connection, which keeps the order of its
// messages. What a pooler does not report in time is sent again from the revision that it reports;
// until it can apply a view, it uses no grant that came with it. Nothing is sent to a pooler while
// much waits on its connection: it renews again, and is sent then what it has missed.
//
// What all poolers are sent is composed and packed once for each revision that they start from.
#pragma once

#include "rhubarbweir/coordination/fleet/peer_directory.hpp"
#include "rhubarbweir/coordination/fleet/pooler_registry.hpp"
#include "rhubarbweir/coordination/fleet/position_table.hpp"
#include "rhubarbweir/coordination/fleet/send_pace.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct ViewSenderPorts
{
    std::function<void(ConnectionId, const FleetReply &)> send;
    std::function<std::vector<std::string>()> controlAddresses;
    // Compresses a configuration document for poolers.
    std::function<OpaqueBytes(const OpaqueBytes &)> compress;
    // See FleetHooks; all may be empty.
    std::function<OpaqueBytes(const OpaqueBytes &)> documentForPoolers;
    std::function<OpaqueBytes(const OpaqueBytes &base, const OpaqueBytes &document)> documentDelta;
    std::function<OpaqueBytes(const FleetView &)> packView;
    std::function<bool(ConnectionId)> isBacklogged;
};

class ViewSender
{
public:
    ViewSender(const FleetSettings &settings, const FleetState &state, LeaseTracker &leases,
               PoolerRegistry &registry, PositionTable &positions, ViewSenderPorts ports);

    // Forgets what was sent when this instance becomes the leader.
    void beginLeadership(TimePoint now);
    // Records the versions of the configuration and the peers that a renewal reports.
    void recordReport(const ProxyRun &run, const RenewLease &message);
    // Answers the renewal with `sequence`, and its report of tokens. The caller has granted the
    // lease.
    void answer(ProxyLease &lease, std::uint64_t sequence, std::optional<TokenAnswer> tokens,
                TimePoint now);
    // Schedules a message to all poolers. An urgent one is sent at once, or in a large fleet
    // crowdInterval() after the last one; others are collected.
    void viewChanged(bool isUrgent, TimePoint now);
    // Sends a scheduled message that is due.
    void advance(TimePoint now);
    // When advance() is due; max() if nothing is scheduled.
    TimePoint nextDeadline() const { return this->pushAt; }

private:
    struct SentDocument
    {
        ConnectionId connection = 0;
        std::uint64_t version = 0;
        // The document is sent again if the pooler does not report it by then.
        TimePoint resendAt;
    };

    struct SentControls
    {
        ConnectionId connection = 0;
        std::uint64_t version = 0;
    };

    // Changes sent to a pooler that has not reported them.
    struct UnreportedView
    {
        std::uint64_t reportedRevision = 0;
        // The changes are sent again if the pooler reports none of them by then.
        TimePoint resendAt;
    };

    // What one run of a pooler reported, and what was sent to it.
    struct PoolerRecord
    {
        std::uint64_t reportedVersion = 0;
        std::optional<std::uint64_t> peersVersion;
        SentDocument document;
        SentControls controls;
        UnreportedView view;
    };

    std::uint64_t baseOfAnswer(const ProxyLease &lease, TimePoint now);
    void push(TimePoint now);
    void forgetEvicted();
    void send(ProxyLease &lease, std::uint64_t sequence, std::uint64_t baseRevision,
              std::optional<TokenAnswer> tokens, TimePoint now);
    void addControls(FleetView &view, const ProxyLease &lease);
    // A view and, if it has many entries, its packed form.
    struct ComposedView
    {
        FleetView view;
        OpaqueBytes packed;
    };

    bool isBacklogged(const ProxyLease &lease) const;
    const ComposedView &compose(std::uint64_t baseRevision);
    void addView(FleetLease &message, std::uint64_t baseRevision);
    FleetView viewAfter(std::uint64_t baseRevision) const;
    FleetView wholeView() const;
    void addDocument(FleetLease &message, const ProxyLease &lease, TimePoint now);
    void encodeNewDocument();
    const OpaqueBytes &documentSince(std::uint64_t version);

    const FleetSettings &settings;
    const FleetState &state;
    LeaseTracker &leases;
    PoolerRegistry &registry;
    PositionTable &positions;
    ViewSenderPorts ports;
    PeerDirectory peers;
    SendPace documentPace;
    TimePoint pushAt = TimePoint::max();
    // When the last message to all poolers was sent.
    TimePoint pushedAt;
    // Multiplies crowdInterval(); 1 after a pause.
    unsigned pushBackoff = 1;
    // Only runs that the lease tracker knows, after each push.
    std::map<ProxyRun, PoolerRecord> records;
    // Addresses of the control instances; the version counts their changes.
    std::vector<std::string> controls;
    std::uint64_t controlsVersion = 0;
    // Views of the newest revision, by their base revision.
    std::map<std::uint64_t, ComposedView> composed;
    std::uint64_t composedRevision = 0;
    // The newest document as poolers get it, the ones before it, and its encodings by the version
    // that they start from; 0 for the whole document.
    ConfigurationDocument document;
    std::deque<ConfigurationDocument> formerDocuments;
    std::map<std::uint64_t, OpaqueBytes> encodedDocuments;
};

} // namespace rhubarbweir
