// Durable storage of one quorum log instance: a record log and a snapshot in one folder.
//
// `log-N` is a sequence of records {length, checksum of the length, checksum of the body, body}.
// The first record tells whether the log's entries follow a snapshot, stored in `snapshot-N`. A new
// snapshot starts a new generation N: both files are written under a temporary name, synced and
// renamed, and the files of the previous generation are then removed.
//
// A crash can leave an incomplete record or zero bytes at the end of the log. That tail was never
// synced and is truncated. Any other checksum mismatch is reported as data loss.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbweir {

class QuorumStore
{
public:
    explicit QuorumStore(std::shared_ptr<StorageFolder> folder);

    // Must be called before any other method. Errors: DataLoss for damaged or missing files, and
    // those of the folder.
    absl::StatusOr<RecoveredState> load();
    // Writes and syncs a batch. Errors: ResourceExhausted if the disk is full; nothing of the batch
    // has taken effect then, and it may be written again. After any other error of the folder the
    // content of the disk is unknown until the files are loaded again, and all further writes fail
    // with FailedPrecondition.
    absl::Status write(const PersistBatch &batch);
    // Removes all files after DataLoss, so that the instance starts as a new incarnation.
    absl::Status reset();

private:
    absl::Status tryWrite(const PersistBatch &batch);
    // Removes what a failed append left at the end of the log.
    absl::Status repairLog();
    absl::Status appendBatch(const PersistBatch &batch);
    absl::Status startGeneration(const PersistBatch &batch);
    absl::Status writeFileAtomically(const std::string &name, const std::string &bytes);
    // Files that cannot be removed now are removed later.
    void removeObsoleteFiles();
    // An entry after the snapshot, and where the body of its record is in the log file.
    struct StoredEntry
    {
        std::uint64_t index = 0;
        std::uint64_t offset = 0;
        std::size_t length = 0;
    };

    // Drops the entries that the batch removes or its snapshot covers.
    void dropEntries(const PersistBatch &batch);
    // Appends the record of the entry to `bytes`, which follow the first `fileBytes` of the log.
    void appendEntry(std::string &bytes, std::uint64_t fileBytes, std::uint64_t index,
                     std::string_view body);
    absl::StatusOr<std::string> encodeGeneration(const PersistBatch &batch);
    absl::StatusOr<RecoveredState> loadCurrentGeneration();
    static std::string logName(std::uint64_t number);
    static std::string snapshotName(std::uint64_t number);
    std::string logName() const { return logName(this->generation); }
    std::string snapshotName() const { return snapshotName(this->generation); }

    std::shared_ptr<StorageFolder> folder;
    // Number in the names of the current files; 0 before the first write.
    std::uint64_t generation = 0;
    QuorumHardState hardState;
    // Whether the current generation has a snapshot file, and the last log index it covers.
    bool hasSnapshot = false;
    std::uint64_t snapshotIndex = 0;
    // Entries after the snapshot in log order; their contents are only in the file.
    std::deque<StoredEntry> tail;
    // Size of the log's complete records.
    std::uint64_t logBytes = 0;
    // Whether the log file may have further bytes.
    bool needsRepair = false;
    bool hasFailed = false;
};

} // namespace rhubarbweir
