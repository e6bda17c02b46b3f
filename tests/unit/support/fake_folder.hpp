// In-memory StorageFolder with fault injection: loss of unsynced data, torn writes, bit flips, a
// full disk and failing syncs.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rhubarbweir {

class FakeFolder : public StorageFolder
{
public:
    absl::StatusOr<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : this->files)
            names.push_back(name);
        return names;
    }
    absl::StatusOr<std::string> read(const std::string &name) override
    {
        const auto found = this->files.find(name);
        if (found == this->files.end())
            return absl::NotFoundError(name);
        return found->second->content;
    }
    absl::Status append(const std::string &name, std::string_view bytes) override
    {
        if (this->full)
            return absl::ResourceExhaustedError("full");
        std::shared_ptr<File> &file = this->files[name];
        if (!file)
            file = std::make_shared<File>();
        const std::size_t used = this->usedBytes();
        const std::size_t left = this->capacity - std::min(this->capacity, used);
        file->content += bytes.substr(0, left);
        return bytes.size() <= left ? absl::OkStatus() : absl::ResourceExhaustedError("full");
    }
    absl::Status sync(const std::string &name) override
    {
        if (this->failSyncs)
            return absl::UnavailableError("sync");
        if (!this->dropSyncs)
            this->files.at(name)->synced = this->files.at(name)->content;
        return absl::OkStatus();
    }
    absl::Status truncate(const std::string &name, std::uint64_t size) override
    {
        this->files.at(name)->content.resize(size);
        return absl::OkStatus();
    }
    absl::Status rename(const std::string &from, const std::string &to) override
    {
        this->files[to] = this->files.at(from);
        this->files.erase(from);
        return absl::OkStatus();
    }
    absl::Status remove(const std::string &name) override
    {
        return this->files.erase(name) == 1 ? absl::OkStatus() : absl::NotFoundError(name);
    }
    absl::Status syncFolder() override
    {
        if (this->failSyncs)
            return absl::UnavailableError("sync");
        if (!this->dropSyncs)
            this->syncedFiles = this->files;
        return absl::OkStatus();
    }

    // Simulates a machine crash. A random prefix of the unsynced bytes of each file survives, and
    // the lost bytes may read as zeros.
    void crash(std::mt19937_64 &random)
    {
        this->files = this->syncedFiles;
        for (auto &[name, file] : this->files) {
            const std::size_t unsynced =
                file->content.size() - std::min(file->content.size(), file->synced.size());
            const std::size_t kept = unsynced == 0 ? 0 : random() % (unsynced + 1);
            const std::string tail = file->content.substr(file->content.size() - unsynced, kept);
            file->content = file->synced + tail;
            if (unsynced != 0 && random() % 3 == 0)
                file->content.append(unsynced - kept, '\0');
            file->synced = file->content;
        }
        this->failSyncs = false;
        this->dropSyncs = false;
        this->full = false;
    }
    void wipe()
    {
        this->files.clear();
        this->syncedFiles.clear();
    }
    void flipBit(const std::string &name, std::size_t bit)
    {
        std::string &content = this->files.at(name)->content;
        content.at(bit / 8) = static_cast<char>(content.at(bit / 8) ^ (1 << (bit % 8)));
        this->files.at(name)->synced = content;
    }

    std::size_t usedBytes() const
    {
        std::size_t used = 0;
        for (const auto &[name, file] : this->files)
            used += file->content.size();
        return used;
    }

    // Bytes that fit into the folder. What does not fit is cut off, as on a real disk.
    std::size_t capacity = std::numeric_limits<std::size_t>::max();
    bool full = false;
    bool failSyncs = false;
    // Syncs succeed without making data durable. Simulates a crash in the middle of a write.
    bool dropSyncs = false;

private:
    struct File
    {
        std::string content;
        std::string synced;
    };

    std::map<std::string, std::shared_ptr<File>> files;
    std::map<std::string, std::shared_ptr<File>> syncedFiles;
};

} // namespace rhubarbweir
