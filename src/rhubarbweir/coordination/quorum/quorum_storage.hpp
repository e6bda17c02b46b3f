// Storage interface of the quorum log: batches to persist, the state recovered on start, and the
// folder that holds the files.
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

// Changes that become durable together. The parts are applied in the order of the members, batches
// in the order of their tokens.
struct PersistBatch
{
    std::uint64_t token = 0;
    std::optional<QuorumHardState> hardState;
    // Replaces all entries up to its index; with `discardEntries`, later ones are removed too.
    std::optional<QuorumSnapshot> snapshot;
    bool discardEntries = false;
    // Entries from this index on are removed.
    std::optional<std::uint64_t> truncateFrom;
    std::vector<QuorumEntry> entries;
};

// The contents of a data folder.
struct RecoveredState
{
    // nullopt for an empty folder, in which case the instance starts a new incarnation.
    std::optional<QuorumHardState> hardState;
    std::optional<QuorumSnapshot> snapshot;
    // Entries after the snapshot, without gaps.
    std::vector<QuorumEntry> entries;
};

// A folder of files without subfolders. Appended bytes are durable only after sync() of the file;
// creating, renaming or removing a file is durable only after syncFolder().
// Errors: Unavailable from the device; ResourceExhausted without room, descriptors or memory, when
// the call may be repeated; NotFound for a missing file.
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
    // Creates the file if it does not exist.
    virtual absl::Status append(const std::string &name, std::string_view bytes) = 0;
    virtual absl::Status sync(const std::string &name) = 0;
    // Truncates the file to `size` bytes.
    virtual absl::Status truncate(const std::string &name, std::uint64_t size) = 0;
    // Replaces `to` if it exists.
    virtual absl::Status rename(const std::string &from, const std::string &to) = 0;
    virtual absl::Status remove(const std::string &name) = 0;
    virtual absl::Status syncFolder() = 0;
};

} // namespace rhubarbweir
