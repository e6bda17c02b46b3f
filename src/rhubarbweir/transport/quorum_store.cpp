// See quorum_store.hpp.
#include "rhubarbweir/transport/quorum_store.hpp"

#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/internal/json_messages.hpp"
#include "rhubarbweir/transport/internal/record_format.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <new>
#include <utility>

namespace rhubarbweir {

namespace {

using nlohmann::json;

constexpr absl::string_view LogPrefix = "log-";
constexpr absl::string_view SnapshotPrefix = "snapshot-";
constexpr absl::string_view TemporarySuffix = ".tmp";

// Values of key "r" in a record: the record type.
constexpr const char *StartRecord = "start";
constexpr const char *HardStateRecord = "hard_state";
constexpr const char *TruncateRecord = "truncate";
constexpr const char *EntryRecord = "entry";
constexpr const char *SnapshotRecord = "snapshot";
// A snapshot whose state is compressed, so that it fits on a disk that is nearly full.
constexpr const char *CompressedSnapshotRecord = "compressed_snapshot";

constexpr std::size_t MaxSnapshotBytes = std::size_t{256} * 1024 * 1024;

template<typename Body>
std::string encodeRecord(const char *type, const Body &body)
{
    std::string bytes;
    json::to_cbor(json{{"r", type}, {"b", body}}, bytes);
    return bytes;
}

absl::StatusOr<QuorumSnapshot> decodeSnapshot(const json &record)
{
    QuorumSnapshot snapshot = record.at("b").get<QuorumSnapshot>();
    if (record.at("r") != CompressedSnapshotRecord)
        return snapshot;
    auto state = decompress(snapshot.state.bytes, MaxSnapshotBytes);
    // Want of memory says nothing of the data.
    if (absl::IsResourceExhausted(state.status()))
        return state.status();
    if (!state.ok())
        return absl::DataLossError("the snapshot cannot be decompressed");
    snapshot.state.bytes = *std::move(state);
    return snapshot;
}

// Whether the device wrote anything is unknown after a failed sync or rename, also if it was full.
absl::Status unlessDiskFull(const absl::Status &status)
{
    return absl::IsResourceExhausted(status) ? absl::UnavailableError(status.message()) : status;
}

// Applies one record of the log to `state`.
absl::Status applyRecord(const json &record, RecoveredState &state)
{
    const auto type = record.at("r").get<std::string>();
    const json &body = record.at("b");
    std::vector<QuorumEntry> &entries = state.entries;
    if (type == HardStateRecord) {
        state.hardState = body.get<QuorumHardState>();
    } else if (type == TruncateRecord) {
        while (!entries.empty() && entries.back().index >= body.get<std::uint64_t>())
            entries.pop_back();
    } else if (type == EntryRecord) {
        const auto base = state.snapshot ? state.snapshot->index : 0;
        const auto last = entries.empty() ? base : entries.back().index;
        entries.push_back(body.get<QuorumEntry>());
        if (entries.back().index != last + 1)
            return absl::DataLossError(
                absl::StrCat("missing log entries before entry ", entries.back().index));
    } else {
        return absl::DataLossError(absl::StrCat("unknown record type ", type));
    }
    return absl::OkStatus();
}

} // namespace

QuorumStore::QuorumStore(std::shared_ptr<StorageFolder> givenFolder)
    : folder(std::move(givenFolder))
{
}

absl::StatusOr<RecoveredState> QuorumStore::load()
{
    const auto names = this->folder->list();
    if (!names.ok())
        return names.status();
    bool hasSnapshotFile = false;
    for (const std::string &name : *names) {
        std::uint64_t number = 0;
        absl::string_view digits = name;
        hasSnapshotFile =
            hasSnapshotFile
            || (absl::StartsWith(name, SnapshotPrefix) && !absl::EndsWith(name, TemporarySuffix));
        if (absl::ConsumePrefix(&digits, LogPrefix) && absl::SimpleAtoi(digits, &number))
            this->generation = std::max(this->generation, number);
    }
    // A snapshot without a log is damage: the first generation's log is written before any
    // snapshot.
    if (this->generation == 0 && hasSnapshotFile)
        return absl::DataLossError("the log file is missing");
    if (this->generation == 0)
        return RecoveredState{};
    try {
        auto recovered = this->loadCurrentGeneration();
        if (recovered.ok())
            this->removeObsoleteFiles();
        return recovered;
    } catch (const std::bad_alloc &) {
        return absl::ResourceExhaustedError("no memory to load the data");
    } catch (const std::exception &error) {
        return absl::DataLossError(error.what());
    }
}

absl::StatusOr<RecoveredState> QuorumStore::loadCurrentGeneration()
{
    const auto bytes = this->folder->read(this->logName());
    if (!bytes.ok())
        return bytes.status();
    const auto scan = scanRecords(*bytes);
    if (!scan.ok())
        return scan.status();
    if (scan->bodies.empty())
        return absl::DataLossError("the log has no start record");
    const json start = json::from_cbor(scan->bodies.front());
    if (start.at("r") != StartRecord)
        return absl::DataLossError("the log has no start record");
    RecoveredState state;
    this->hasSnapshot = start.at("b").get<bool>();
    if (this->hasSnapshot) {
        const auto file = this->folder->read(this->snapshotName());
        if (absl::IsNotFound(file.status()))
            return absl::DataLossError("the snapshot file is missing");
        if (!file.ok())
            return file.status();
        const auto records = scanRecords(*file);
        if (!records.ok() || records->bodies.size() != 1)
            return absl::DataLossError("the snapshot file is damaged");
        auto snapshot = decodeSnapshot(json::from_cbor(records->bodies.front()));
        if (!snapshot.ok())
            return snapshot.status();
        state.snapshot = *std::move(snapshot);
        this->snapshotIndex = state.snapshot->index;
    }
    for (std::size_t number = 1; number < scan->bodies.size(); ++number) {
        const std::string_view body = scan->bodies[number];
        absl::Status applied = applyRecord(json::from_cbor(body), state);
        if (!applied.ok())
            return applied;
        while (this->tail.size() > state.entries.size())
            this->tail.pop_back();
        if (this->tail.size() < state.entries.size())
            this->tail.push_back({state.entries.back().index,
                                  static_cast<std::uint64_t>(body.data() - bytes->data()),
                                  body.size()});
    }
    this->logBytes = scan->validBytes;
    if (!state.hardState)
        return absl::DataLossError("the log has no hard state record");
    this->hardState = *state.hardState;
    this->needsRepair = scan->validBytes != bytes->size();
    const absl::Status repaired = this->repairLog();
    if (!repaired.ok() && !absl::IsResourceExhausted(repaired))
        return repaired;
    // A process that was killed may have written what it did not sync. It counts as durable from
    // now on.
    absl::Status synced = this->folder->sync(this->logName());
    if (synced.ok())
        synced = this->folder->syncFolder();
    if (!synced.ok())
        return synced;
    return state;
}

absl::Status QuorumStore::repairLog()
{
    if (!this->needsRepair)
        return absl::OkStatus();
    absl::Status cut = this->folder->truncate(this->logName(), this->logBytes);
    if (cut.ok())
        cut = this->folder->sync(this->logName());
    this->needsRepair = !cut.ok();
    return cut;
}

absl::Status QuorumStore::write(const PersistBatch &batch)
{
    if (this->hasFailed)
        return absl::FailedPreconditionError("an earlier write failed");
    absl::Status written = this->tryWrite(batch);
    const bool mayDeferSnapshot = batch.snapshot && !batch.discardEntries && this->generation != 0;
    if (absl::IsResourceExhausted(written) && mayDeferSnapshot) {
        // The log still has everything that the snapshot replaces.
        PersistBatch rest = batch;
        rest.snapshot.reset();
        written = this->tryWrite(rest);
    }
    this->hasFailed = !written.ok() && !absl::IsResourceExhausted(written);
    return written;
}

absl::Status QuorumStore::tryWrite(const PersistBatch &batch)
{
    if (absl::Status repaired = this->repairLog(); !repaired.ok())
        return repaired;
    const std::deque<StoredEntry> tailBefore = this->tail;
    const bool isNewGeneration = this->generation == 0 || batch.snapshot;
    absl::Status written =
        isNewGeneration ? this->startGeneration(batch) : this->appendBatch(batch);
    if (written.ok())
        return written;
    this->tail = tailBefore;
    // If it fails, it is tried again before the next write.
    if (absl::IsResourceExhausted(written))
        (void)this->repairLog();
    return written;
}

absl::Status QuorumStore::appendBatch(const PersistBatch &batch)
{
    std::string bytes;
    if (batch.hardState)
        appendRecord(bytes, encodeRecord(HardStateRecord, *batch.hardState));
    if (batch.truncateFrom)
        appendRecord(bytes, encodeRecord(TruncateRecord, *batch.truncateFrom));
    this->dropEntries(batch);
    for (const QuorumEntry &entry : batch.entries)
        this->appendEntry(bytes, this->logBytes, entry.index, encodeRecord(EntryRecord, entry));
    absl::Status appended = this->folder->append(this->logName(), bytes);
    if (!appended.ok()) {
        this->needsRepair = true;
        return appended;
    }
    this->logBytes += bytes.size();
    if (batch.hardState)
        this->hardState = *batch.hardState;
    return unlessDiskFull(this->folder->sync(this->logName()));
}

void QuorumStore::dropEntries(const PersistBatch &batch)
{
    if (batch.discardEntries)
        this->tail.clear();
    while (batch.truncateFrom && !this->tail.empty()
           && this->tail.back().index >= *batch.truncateFrom)
        this->tail.pop_back();
    while (batch.snapshot && !this->tail.empty()
           && this->tail.front().index <= batch.snapshot->index)
        this->tail.pop_front();
}

void QuorumStore::appendEntry(std::string &bytes, std::uint64_t fileBytes, std::uint64_t index,
                              std::string_view body)
{
    appendRecord(bytes, body);
    this->tail.push_back({index, fileBytes + bytes.size() - body.size(), body.size()});
}

// The batch takes effect atomically when the log file is renamed.
absl::Status QuorumStore::startGeneration(const PersistBatch &batch)
{
    this->dropEntries(batch);
    const auto log = this->encodeGeneration(batch);
    if (!log.ok())
        return log.status();
    const std::uint64_t next = this->generation + 1;
    if (batch.snapshot) {
        QuorumSnapshot compressed = *batch.snapshot;
        compressed.state.bytes = compress(compressed.state.bytes);
        std::string bytes;
        appendRecord(bytes, encodeRecord(CompressedSnapshotRecord, compressed));
        absl::Status saved = this->writeFileAtomically(snapshotName(next), bytes);
        if (!saved.ok())
            return saved;
    }
    absl::Status written = this->writeFileAtomically(logName(next), *log);
    if (!written.ok()) {
        // It would take the room that the next attempt needs.
        if (absl::IsResourceExhausted(written) && batch.snapshot)
            (void)this->folder->remove(snapshotName(next));
        return written;
    }
    this->generation = next;
    this->logBytes = log->size();
    if (batch.hardState)
        this->hardState = *batch.hardState;
    if (batch.snapshot) {
        this->hasSnapshot = true;
        this->snapshotIndex = batch.snapshot->index;
    }
    this->removeObsoleteFiles();
    return absl::OkStatus();
}

// The next generation's log: the remaining entries of the current one and those of the batch.
absl::StatusOr<std::string> QuorumStore::encodeGeneration(const PersistBatch &batch)
{
    std::string bytes;
    appendRecord(bytes, encodeRecord(StartRecord, this->hasSnapshot || batch.snapshot));
    appendRecord(bytes, encodeRecord(HardStateRecord, batch.hardState.value_or(this->hardState)));
    const std::deque<StoredEntry> kept = std::exchange(this->tail, {});
    if (!kept.empty()) {
        const auto current = this->folder->read(this->logName());
        if (!current.ok())
            return current.status();
        for (const StoredEntry &entry : kept)
            this->appendEntry(bytes, 0, entry.index,
                              std::string_view(*current).substr(entry.offset, entry.length));
    }
    const std::uint64_t coveredIndex = batch.snapshot ? batch.snapshot->index : this->snapshotIndex;
    for (const QuorumEntry &entry : batch.entries) {
        if (entry.index > coveredIndex)
            this->appendEntry(bytes, 0, entry.index, encodeRecord(EntryRecord, entry));
    }
    return bytes;
}

absl::Status QuorumStore::writeFileAtomically(const std::string &name, const std::string &bytes)
{
    const std::string temporary = absl::StrCat(name, TemporarySuffix);
    absl::Status status = this->folder->remove(temporary);
    if (status.ok() || absl::IsNotFound(status))
        status = this->folder->append(temporary, bytes);
    if (!status.ok()) {
        (void)this->folder->remove(temporary);
        return status;
    }
    status = this->folder->sync(temporary);
    if (status.ok())
        status = this->folder->rename(temporary, name);
    if (status.ok())
        status = this->folder->syncFolder();
    return unlessDiskFull(status);
}

void QuorumStore::removeObsoleteFiles()
{
    const auto names = this->folder->list();
    if (!names.ok())
        return;
    for (const std::string &name : *names) {
        const bool isCurrent =
            name == this->logName() || (this->hasSnapshot && name == this->snapshotName());
        const bool isStoreFile =
            absl::StartsWith(name, LogPrefix) || absl::StartsWith(name, SnapshotPrefix);
        if (!isCurrent && isStoreFile)
            (void)this->folder->remove(name);
    }
    (void)this->folder->syncFolder();
}

absl::Status QuorumStore::reset()
{
    const auto names = this->folder->list();
    if (!names.ok())
        return names.status();
    for (const std::string &name : *names) {
        if (!absl::StartsWith(name, LogPrefix) && !absl::StartsWith(name, SnapshotPrefix))
            continue;
        absl::Status removed = this->folder->remove(name);
        if (!removed.ok())
            return removed;
    }
    this->generation = 0;
    this->hasSnapshot = false;
    this->snapshotIndex = 0;
    this->tail.clear();
    this->logBytes = 0;
    this->needsRepair = false;
    this->hardState = {};
    this->hasFailed = false;
    return this->folder->syncFolder();
}

std::string QuorumStore::logName(std::uint64_t number)
{
    return absl::StrCat(LogPrefix, number);
}

std::string QuorumStore::snapshotName(std::uint64_t number)
{
    return absl::StrCat(SnapshotPrefix, number);
}

} // namespace rhubarbweir
