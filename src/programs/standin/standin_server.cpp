// See standin_server.hpp.
#include "programs/standin/standin_server.hpp"

#include "programs/support/atomic_file.hpp"
#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds ReconnectInterval{250};
constexpr std::size_t MaxSockets = 2000;

bool isSameState(const TargetStatus &a, const TargetStatus &b)
{
    return a.role == b.role && a.adoptedTerm == b.adoptedTerm && a.received == b.received
           && a.applied == b.applied;
}

DatabaseSettings databaseSettingsFrom(const StandinProgramSettings &settings)
{
    DatabaseSettings database;
    database.target = settings.id;
    database.group = settings.group;
    database.limits.connections = settings.connections;
    database.limits.slots = settings.slots;
    database.hardConnectionLimit = settings.hardConnections;
    database.serviceTime = settings.serviceTime;
    database.exponentialService = settings.exponentialService;
    database.connectionSetup = settings.connectionSetup;
    database.behindWait = settings.behindWait;
    database.replicationDelay = settings.replicationDelay;
    database.applyLag.shortest = settings.lagLeast;
    database.applyLag.longest = settings.lagGreatest;
    database.applyLag.holdFor = settings.lagHoldFor;
    database.applyLag.spellShare = settings.spellPercent / 100.0;
    database.applyLag.spellLag = settings.spellLag;
    database.applyLag.spellFor = settings.spellFor;
    database.seed = settings.seed;
    return database;
}

// Renames the report of the database's previous process, so that the load tool can check it too.
void archivePreviousReport(const std::string &file)
{
    const std::filesystem::path path(file);
    std::error_code error;
    if (!std::filesystem::exists(path, error))
        return;
    std::filesystem::path archived;
    int number = 0;
    do {
        archived = path;
        archived.replace_extension("." + std::to_string(++number) + path.extension().string());
    } while (std::filesystem::exists(archived, error));
    std::filesystem::rename(path, archived, error);
}

} // namespace

StandinServer::StandinServer(EventLoop &eventLoop, StandinProgramSettings standinSettings)
    : loop(eventLoop)
    , settings(std::move(standinSettings))
    , database(databaseSettingsFrom(this->settings),
               DatabaseHooks{[this](std::uint64_t number, const Message &message) {
                                 const auto found = this->connections.find(number);
                                 if (found != this->connections.end())
                                     found->second->send(message);
                             },
                             [this](const TargetId &member, const Message &message) {
                                 this->sendToMember(member, message);
                             },
                             [this](const JournalRecord &record) {
                                 this->journal.append(record);
                             }})
    , server(
          eventLoop, this->settings.listenAddress, {Subprotocol::Target}, MaxSockets,
          ServerHooks{
              [this](const ConnectionPtr &connection, Subprotocol) { this->accepted(connection); },
              [this](const std::string &path) { return this->handleGet(path); },
              [](CloseReason reason, const std::string &peer, const std::string &detail) {
                  logEvent(LogLevel::Warning, "protocol_fault",
                           {{"reason", nameOf(reason)}, {"peer", peer}, {"detail", detail}});
              }})
    , client(eventLoop)
{
}

absl::Status StandinServer::start()
{
    absl::Status opened =
        this->journal.open(this->settings.journalFile,
                           [this](const JournalRecord &record) { this->database.restore(record); });
    if (!opened.ok())
        return opened;
    const bool isRestarted = this->database.log().received() != LogPosition{};
    if (isRestarted && !this->settings.reportFile.empty())
        archivePreviousReport(this->settings.reportFile);
    for (const std::string &address : this->settings.controlAddresses) {
        this->controls.push_back(Link{address, nullptr, false});
        this->connectToControl(this->controls.size() - 1);
    }
    this->loop.every(this->settings.announceInterval, [this] { this->announce(); });
    if (!this->settings.reportFile.empty())
        this->loop.every(this->settings.reportInterval, [this] { this->writeReport(); });
    logEvent(LogLevel::Info, "started",
             {{"address", this->settings.listenAddress},
              {"term", static_cast<std::int64_t>(this->database.adoptedTerm())}});
    return absl::OkStatus();
}

void StandinServer::stop()
{
    this->writeReport();
    logEvent(LogLevel::Info, "stopped", {});
}

void StandinServer::accepted(const ConnectionPtr &connection)
{
    const std::uint64_t number = ++this->lastConnection;
    this->connections[number] = connection;
    Connection *raw = connection.get();
    connection->onMessage = [this, number, raw](const Message &message) {
        this->receiveOnTargetPort(number, raw->shared_from_this(), message);
    };
    connection->onClosed = [this, number] {
        this->connections.erase(number);
        this->database.connectionClosed(number);
        this->runDueWork();
    };
}

void StandinServer::receiveOnTargetPort(std::uint64_t number, const ConnectionPtr &connection,
                                        const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *open = std::get_if<OpenConnection>(&message)) {
        this->database.receive(number, *open, now);
    } else if (const auto *statement = std::get_if<Statement>(&message)) {
        this->database.receive(number, *statement, now);
    } else if (const auto *probe = std::get_if<StatusProbe>(&message)) {
        connection->send(this->database.status(probe->probeId));
    } else if (const auto *entries = std::get_if<ReplicateEntries>(&message)) {
        this->members[entries->primary].connection = connection;
        this->database.receive(*entries, now);
    } else if (const auto *answer = std::get_if<ReplicateAnswer>(&message)) {
        this->members[answer->target].connection = connection;
        this->database.receive(*answer, now);
    } else {
        connection->close(CloseReason::UnexpectedMessage);
    }
    this->runDueWork();
}

HttpReply StandinServer::handleGet(const std::string &path)
{
    if (path == "/health")
        return HttpReply{200, "text/plain", "ready\n"};
    if (path == "/report")
        return HttpReply{200, "application/json", this->report.text(this->database)};
    return HttpReply{};
}

void StandinServer::connectToControl(std::size_t index)
{
    Link &link = this->controls[index];
    link.isConnecting = true;
    this->client.connect(link.address, Subprotocol::Control, EventLoop::now() + ConnectTimeout,
                         [this, index](absl::StatusOr<ConnectionPtr> result) {
                             Link &control = this->controls[index];
                             control.isConnecting = false;
                             if (!result.ok())
                                 return;
                             control.connection = *result;
                             Connection *raw = control.connection.get();
                             raw->onMessage = [this, raw](const Message &message) {
                                 this->receiveFromControl(raw->shared_from_this(), message);
                             };
                             raw->onClosed = [this, index] {
                                 this->controls[index].connection = nullptr;
                             };
                             this->announce();
                         });
}

void StandinServer::receiveFromControl(const ConnectionPtr &connection, const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *fence = std::get_if<FenceTarget>(&message)) {
        connection->send(this->database.receive(*fence, now));
        logEvent(LogLevel::Info, "fenced", {{"term", static_cast<std::int64_t>(fence->term)}});
    } else if (const auto *promote = std::get_if<PromoteTarget>(&message)) {
        connection->send(this->database.receive(*promote, now));
        logEvent(LogLevel::Info, "promoted", {{"term", static_cast<std::int64_t>(promote->term)}});
        for (const PeerAddress &member : promote->members) {
            if (member.target != this->settings.id)
                this->connectToMember(member.target, member.address);
        }
    } else if (const auto *primary = std::get_if<FollowPrimary>(&message)) {
        this->follow(*primary);
    } else if (const auto *probe = std::get_if<StatusProbe>(&message)) {
        connection->send(this->database.status(probe->probeId));
    }
    this->runDueWork();
}

void StandinServer::announce()
{
    Announcement announcement;
    announcement.status = this->database.status();
    announcement.address = this->settings.listenAddress;
    announcement.failureDomain = this->settings.failureDomain;
    announcement.uses = this->database.usage().byHolder();
    for (std::size_t index = 0; index < this->controls.size(); ++index) {
        const Link &link = this->controls[index];
        if (link.connection)
            link.connection->send(announcement);
        else if (!link.isConnecting)
            this->connectToControl(index);
    }
}

void StandinServer::connectToMember(const TargetId &member, const std::string &address)
{
    Link &link = this->members[member];
    link.address = address;
    if (link.isConnecting || (link.connection && link.connection->isOpen()))
        return;
    link.isConnecting = true;
    this->client.connect(address, Subprotocol::Target, EventLoop::now() + ConnectTimeout,
                         [this, member](absl::StatusOr<ConnectionPtr> result) {
                             Link &peer = this->members[member];
                             peer.isConnecting = false;
                             if (!result.ok())
                                 return;
                             peer.connection = *result;
                             peer.connection->onMessage = [this](const Message &message) {
                                 this->receiveFromMember(message);
                             };
                             this->database.memberConnected(member, EventLoop::now());
                             this->runDueWork();
                         });
}

void StandinServer::receiveFromMember(const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *entries = std::get_if<ReplicateEntries>(&message))
        this->database.receive(*entries, now);
    else if (const auto *answer = std::get_if<ReplicateAnswer>(&message))
        this->database.receive(*answer, now);
    this->runDueWork();
}

// A lost connection is re-established by the next message, which replication retransmits.
void StandinServer::sendToMember(const TargetId &member, const Message &message)
{
    Link &link = this->members[member];
    if (link.connection && link.connection->isOpen())
        link.connection->send(message);
    else if (!link.address.empty())
        this->connectToMember(member, link.address);
}

// Follows the primary and introduces this database, as the primary may not know of it.
void StandinServer::follow(const FollowPrimary &message)
{
    this->database.receive(message, EventLoop::now());
    if (message.term != this->database.adoptedTerm() || this->database.isPrimary())
        return;
    ReplicateAnswer introduction;
    introduction.group = this->settings.group;
    introduction.target = this->settings.id;
    introduction.term = message.term;
    this->members[message.primary.target].address = message.primary.address;
    this->sendToMember(message.primary.target, introduction);
}

void StandinServer::runDueWork()
{
    const TimePoint now = EventLoop::now();
    this->database.advance(now);
    if (!isSameState(this->publishedStatus, this->database.status()) && !this->isPushPlanned) {
        this->isPushPlanned = true;
        this->loop.schedule(this->nextPushAt, [this] { this->pushStatus(); });
    }
    const TimePoint due = this->database.nextDeadline();
    if (due >= this->wakeAt)
        return;
    this->wakeAt = due;
    this->loop.schedule(due, [this, due] {
        if (this->wakeAt == due)
            this->wakeAt = TimePoint::max();
        this->runDueWork();
    });
}

void StandinServer::pushStatus()
{
    this->isPushPlanned = false;
    this->nextPushAt = EventLoop::now() + this->settings.statusInterval;
    this->publishedStatus = this->database.status();
    for (const std::uint64_t number : this->database.statusConnections()) {
        const auto found = this->connections.find(number);
        if (found != this->connections.end())
            found->second->send(this->publishedStatus);
    }
}

void StandinServer::writeReport()
{
    if (this->settings.reportFile.empty())
        return;
    const absl::Status written =
        replaceFile(this->settings.reportFile, this->report.text(this->database));
    if (!written.ok())
        logEvent(LogLevel::Error, "report_not_written",
                 {EventField("cause", std::string(written.message()))});
}

} // namespace rhubarbweir
