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
    // Writes and syncs a batch. After an error, all further writes fail, because the content of the
    // disk is unknown until the files are loaded again. Errors: those of the folder,
    // FailedPrecondition after an earlier error.
    absl::Status write(const PersistBatch &batch);
    // Removes all files after DataLoss, so that the instance starts as a new incarnation.
    absl::Status reset();

private:
    absl::Status appendBatch(const PersistBatch &batch);
    absl::Status startGeneration(const PersistBatch &batch);
    absl::Status writeFileAtomically(const std::string &name, const std::string &bytes);
    absl::Status removeObsoleteFiles();
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
    std::string logName() const;
    std::string snapshotName() const;

    std::shared_ptr<StorageFolder> folder;
    // Number in the names of the current files; 0 before the first write.
    std::uint64_t generation = 0;
    QuorumHardState hardState;
    // Whether the current generation has a snapshot file, and the last log index it covers.
    bool hasSnapshot = false;
    std::uint64_t snapshotIndex = 0;
    // Entries after the snapshot in log order; their contents are only in the file.
    std::deque<StoredEntry> tail;
    std::uint64_t logBytes = 0;
    bool hasFailed = false;
};

} // namespace rhubarbweir
