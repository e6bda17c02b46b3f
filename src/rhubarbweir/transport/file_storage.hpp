// StorageFolder in the file system, locked against use by other processes.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"

#include <memory>
#include <string>

namespace rhubarbweir {

class FileStorage : public StorageFolder
{
public:
    // Creates the folder if it does not exist and locks it until the object is destroyed.
    // Errors: Unavailable if another process has locked the folder, and those of the file system.
    static absl::StatusOr<std::shared_ptr<FileStorage>> open(const std::string &path);
    ~FileStorage() override;

    absl::StatusOr<std::vector<std::string>> list() override;
    absl::StatusOr<std::string> read(const std::string &name) override;
    absl::Status append(const std::string &name, std::string_view bytes) override;
    absl::Status sync(const std::string &name) override;
    absl::Status truncate(const std::string &name, std::uint64_t size) override;
    absl::Status rename(const std::string &from, const std::string &to) override;
    absl::Status remove(const std::string &name) override;
    absl::Status syncFolder() override;

private:
    explicit FileStorage(std::string path);

    absl::Status openForAppend(const std::string &name);
    void closeAppendFile();

    std::string path;
    int folderDescriptor = -1;
    int lockDescriptor = -1;
    // The file that append(), sync() or truncate() used last stays open.
    std::string appendFileName;
    int appendFileDescriptor = -1;
};

} // namespace rhubarbweir
