// What the quorum log asks of a disk: the batches it persists, the state it recovers, and the
// folder interface under which the files lie.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entry.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

// One unit of durable change. Parts are applied in the order of the members; batches in the order
// of their tokens.
struct PersistBatch
{
    std::uint64_t token = 0;
    std::optional<QuorumHardState> hardState;
    // Replaces all entries up to its index. With `discardEntries` also all later ones.
    std::optional<QuorumSnapshot> snapshot;
    bool discardEntries = false;
    // Entries from this index on are dropped.
    std::optional<std::uint64_t> truncateFrom;
    std::vector<QuorumEntry> entries;
};

// Everything a data folder holds.
struct RecoveredState
{
    // Absent for an empty folder: the instance starts a new incarnation.
    std::optional<QuorumHardState> hardState;
    std::optional<QuorumSnapshot> snapshot;
    // Entries after the snapshot, without gaps.
    std::vector<QuorumEntry> entries;
};

// One flat folder of files. An append lasts only after sync() of the file, and a new, renamed or
// removed name only after syncFolder().
// Errors: Unavailable or ResourceExhausted from the device; NotFound for a missing file.
class StorageFolder
{
public:
    StorageFolder() = default;
    virtual ~StorageFolder() = default;
    StorageFolder(const StorageFolder &) = delete;
    StorageFolder &operator=(const StorageFolder &) = delete;

    // Names of all files, sorted.
    virtual absl::StatusOr<std::vector<std::string>> list() = 0;
    virtual absl::StatusOr<std::string> read(const std::string &name) = 0;
    // Creates the file when it is missing.
    virtual absl::Status append(const std::string &name, std::string_view bytes) = 0;
    virtual absl::Status sync(const std::string &name) = 0;
    // Cuts the file to `size` bytes.
    virtual absl::Status truncate(const std::string &name, std::uint64_t size) = 0;
    // Replaces `to`.
    virtual absl::Status rename(const std::string &from, const std::string &to) = 0;
    virtual absl::Status remove(const std::string &name) = 0;
    virtual absl::Status syncFolder() = 0;
};

} // namespace rhubarbweir
