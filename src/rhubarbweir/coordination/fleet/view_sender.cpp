// See view_sender.hpp.
#include "rhubarbweir/coordination/fleet/view_sender.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbweir {

namespace {

// A view with at least this many entries is packed. Below, packing saves little.
constexpr std::size_t MinPackedEntries = 16;
// Documents that a pooler in touch may still hold.
constexpr std::size_t MaxFormerDocuments = 4;
// Limit on the remembered composed views. Most poolers hold one of the last few revisions.
constexpr std::size_t MaxComposedViews = 32;

// While the view changes without a pause, as during the start of a fleet, the interval between two
// messages to all poolers grows up to this many times. Otherwise the leader of 300 poolers that
// register 1,800 targets does nothing else.
constexpr unsigned MaxPushBackoff = 8;

std::size_t entriesOf(const FleetView &view)
{
    return view.targets.size() + view.removedTargets.size() + view.authorities.size();
}

// Only control instances compare logs.
PrimaryAuthority forPoolers(PrimaryAuthority authority)
{
    authority.termStarts.clear();
    return authority;
}

} // namespace

ViewSender::ViewSender(const FleetSettings &fleetSettings, const FleetState &fleetState,
                       LeaseTracker &leaseTracker, PoolerRegistry &poolerRegistry,
                       PositionTable &positionTable, ViewSenderPorts senderPorts)
    : settings(fleetSettings)
    , state(fleetState)
    , leases(leaseTracker)
    , registry(poolerRegistry)
    , positions(positionTable)
    , ports(std::move(senderPorts))
    , peers(leaseTracker)
    , documentPace(fleetSettings.documentBytesPerSecond)
{
}

void ViewSender::beginLeadership(TimePoint now)
{
    this->peers.beginLeadership(now);
    this->pushAt = TimePoint::max();
    this->records.clear();
    this->composed.clear();
}

void ViewSender::recordReport(const ProxyRun &run, const RenewLease &message)
{
    PoolerRecord &record = this->records[run];
    record.reportedVersion = message.configurationVersion;
    record.peersVersion = message.peersVersion;
}

void ViewSender::answer(ProxyLease &lease, std::uint64_t sequence,
                        std::optional<TokenAnswer> tokens, TimePoint now)
{
    if (!this->isBacklogged(lease))
        this->send(lease, sequence, this->baseOfAnswer(lease, now), std::move(tokens), now);
}

bool ViewSender::isBacklogged(const ProxyLease &lease) const
{
    return this->ports.isBacklogged && this->ports.isBacklogged(lease.connection);
}

// Repeating what is on its way would, on a full link, add to the queue with each renewal.
std::uint64_t ViewSender::baseOfAnswer(const ProxyLease &lease, TimePoint now)
{
    if (lease.sentRevision <= lease.revision)
        return lease.revision;
    UnreportedView &unreported = this->records[lease.run].view;
    if (unreported.reportedRevision != lease.revision)
        unreported = {lease.revision, now + this->settings.viewResendInterval};
    if (now < unreported.resendAt)
        return lease.sentRevision;
    unreported.resendAt = now + this->settings.viewResendInterval;
    return lease.revision;
}

void ViewSender::viewChanged(bool isUrgent, TimePoint now)
{
    const TimePoint earliest =
        this->pushedAt + crowdInterval(this->state.livePoolers()) * this->pushBackoff;
    const TimePoint due = isUrgent ? now : now + this->settings.viewCollectionTime;
    this->pushAt = std::min(this->pushAt, std::max(due, earliest));
    this->advance(now);
}

void ViewSender::advance(TimePoint now)
{
    if (now >= this->pushAt)
        this->push(now);
}

void ViewSender::push(TimePoint now)
{
    this->pushAt = TimePoint::max();
    const Duration interval = crowdInterval(this->state.livePoolers()) * this->pushBackoff;
    const bool isContinuous = now < this->pushedAt + 2 * interval;
    this->pushBackoff = isContinuous ? std::min(2 * this->pushBackoff, MaxPushBackoff) : 1;
    this->pushedAt = now;
    this->forgetEvicted();
    for (auto &[run, lease] : this->leases.all()) {
        if (lease.connection == 0 || lease.isRetired || this->isBacklogged(lease))
            continue;
        if (lease.sentRevision <= lease.revision)
            this->records[run].view = {lease.revision, now + this->settings.viewResendInterval};
        this->send(lease, 0, std::max(lease.revision, lease.sentRevision), std::nullopt, now);
    }
}

void ViewSender::forgetEvicted()
{
    // Every record belongs to a run that had a lease, so there are more only after an eviction.
    if (this->records.size() <= this->leases.all().size())
        return;
    for (auto entry = this->records.begin(); entry != this->records.end();)
        entry = this->leases.find(entry->first) == nullptr ? this->records.erase(entry)
                                                           : std::next(entry);
}

void ViewSender::send(ProxyLease &lease, std::uint64_t sequence, std::uint64_t baseRevision,
                      std::optional<TokenAnswer> tokens, TimePoint now)
{
    FleetLease message;
    message.sequence = sequence;
    message.tokens = std::move(tokens);
    message.leaseFor = this->settings.lease.leaseFor;
    message.poolers =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, this->state.livePoolers()));
    message.formerPoolers = static_cast<std::uint32_t>(this->registry.formerRunCount(now));
    if (sequence != 0) {
        message.positions = this->positions.takeChanges(lease.connection, now);
        this->positions.answerSent(lease.connection, sequence, now);
        if (const auto held = this->records[lease.run].peersVersion)
            message.peers = this->peers.changesFor(lease.failureDomain, *held, now);
    }
    this->addView(message, baseRevision);
    this->addControls(message.view, lease);
    this->addDocument(message, lease, now);
    lease.sentRevision = message.view.revision;
    this->ports.send(lease.connection, message);
}

// Control instances change without a change of the view. A pooler that knows only former ones finds
// none once its connection ends.
void ViewSender::addControls(FleetView &view, const ProxyLease &lease)
{
    std::vector<std::string> current = this->ports.controlAddresses();
    if (current != this->controls) {
        this->controls = std::move(current);
        ++this->controlsVersion;
    }
    SentControls &sent = this->records[lease.run].controls;
    if (sent.connection == lease.connection && sent.version == this->controlsVersion)
        return;
    sent = {lease.connection, this->controlsVersion};
    view.controls = this->controls;
}

void ViewSender::addView(FleetLease &message, std::uint64_t baseRevision)
{
    const ComposedView &composedView = this->compose(baseRevision);
    if (composedView.packed.bytes.empty()) {
        message.view = composedView.view;
        return;
    }
    message.view.revision = composedView.view.revision;
    message.view.baseRevision = composedView.view.baseRevision;
    message.packedView = composedView.packed;
}

const ViewSender::ComposedView &ViewSender::compose(std::uint64_t baseRevision)
{
    const bool isOutdated = this->composedRevision != this->state.viewRevision();
    if (isOutdated || this->composed.size() > MaxComposedViews)
        this->composed.clear();
    this->composedRevision = this->state.viewRevision();
    const auto [entry, isNew] = this->composed.try_emplace(baseRevision);
    ComposedView &result = entry->second;
    if (isNew) {
        result.view = this->viewAfter(baseRevision);
        if (this->ports.packView && entriesOf(result.view) >= MinPackedEntries)
            result.packed = this->ports.packView(result.view);
    }
    return result;
}

FleetView ViewSender::viewAfter(std::uint64_t baseRevision) const
{
    const auto changes = this->state.viewChangesAfter(baseRevision);
    if (baseRevision == 0 || !changes)
        return this->wholeView();
    FleetView view;
    view.revision = this->state.viewRevision();
    view.baseRevision = baseRevision;
    if (view.revision == baseRevision)
        return view;
    for (const TargetId &id : changes->targets) {
        const RegisteredTarget *target = this->state.find(id);
        if (target == nullptr || target->phase == TargetPhase::Left)
            view.removedTargets.push_back(id);
        else
            view.targets.push_back(*target);
    }
    for (const GroupId &group : changes->authorities)
        view.authorities.push_back(forPoolers(*this->state.authority(group)));
    return view;
}

FleetView ViewSender::wholeView() const
{
    FleetView view;
    view.revision = this->state.viewRevision();
    for (const auto &[id, target] : this->state.targets()) {
        if (target.phase != TargetPhase::Left)
            view.targets.push_back(target);
    }
    for (const auto &[group, authority] : this->state.authorities())
        view.authorities.push_back(forPoolers(authority));
    return view;
}

// A document takes seconds on a slow link, so it is not sent again with every message until the
// pooler reports it.
void ViewSender::addDocument(FleetLease &message, const ProxyLease &lease, TimePoint now)
{
    const std::uint64_t version = this->state.configuration().version;
    message.configurationVersion = version;
    // Also if no pooler needs it: the next document is sent as the difference to it.
    this->encodeNewDocument();
    PoolerRecord &record = this->records[lease.run];
    if (record.reportedVersion >= version)
        return;
    SentDocument &sent = record.document;
    const bool isAwaited =
        sent.connection == lease.connection && sent.version > record.reportedVersion;
    const bool isOverdue = isAwaited && now >= sent.resendAt;
    if (isAwaited && sent.version == version && !isOverdue)
        return;
    // What was sent before on the connection arrives first. A second attempt is not a difference,
    // as the first may have been for a document that the pooler does not have.
    std::uint64_t base = isAwaited ? sent.version : record.reportedVersion;
    if (isOverdue)
        base = 0;
    const OpaqueBytes &encoded = this->documentSince(base);
    if (!this->documentPace.take(encoded.bytes.size(), now))
        return;
    message.configuration = encoded;
    message.configurationBase = this->encodedDocuments.count(base) != 0 ? base : 0;
    // A later document does not postpone the second attempt.
    const bool isContinued = isAwaited && !isOverdue;
    sent = {lease.connection, version,
            isContinued ? sent.resendAt : now + this->settings.documentResendInterval};
}

void ViewSender::encodeNewDocument()
{
    const ConfigurationDocument &stored = this->state.configuration();
    if (this->document.version == stored.version)
        return;
    if (this->document.version != 0)
        this->formerDocuments.push_back(std::move(this->document));
    if (this->formerDocuments.size() > MaxFormerDocuments)
        this->formerDocuments.pop_front();
    this->document = stored;
    if (this->ports.documentForPoolers)
        this->document.document = this->ports.documentForPoolers(stored.document);
    this->encodedDocuments.clear();
    this->encodedDocuments[0] = this->ports.compress(this->document.document);
}

// The whole document if the version is not known.
const OpaqueBytes &ViewSender::documentSince(std::uint64_t version)
{
    const auto encoded = this->encodedDocuments.find(version);
    if (encoded != this->encodedDocuments.end())
        return encoded->second;
    for (const ConfigurationDocument &former : this->formerDocuments) {
        if (former.version == version && this->ports.documentDelta)
            return this->encodedDocuments[version] =
                       this->ports.documentDelta(former.document, this->document.document);
    }
    return this->encodedDocuments[0];
}

} // namespace rhubarbweir
