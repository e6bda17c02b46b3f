// See file_storage.hpp.
#include "rhubarbweir/transport/file_storage.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr const char *LockFileName = "lock";
constexpr mode_t FileMode = 0640;
constexpr std::size_t ReadBufferBytes = 1 << 16;

// Whether the call failed for want of room, descriptors or memory, which others may release, and
// nothing is wrong with the device.
bool isResourceError(int error)
{
    switch (error) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
    case EMFILE:
    case ENFILE:
    case ENOMEM:
        return true;
    default:
        return false;
    }
}

// `action` is a view, as an allocation on the way here may change errno.
absl::Status statusFromErrno(absl::string_view action, const std::string &name)
{
    const int number = errno;
    const std::string text =
        absl::StrCat(action, " ", name, ": ", std::generic_category().message(number));
    if (number == ENOENT)
        return absl::NotFoundError(text);
    if (isResourceError(number))
        return absl::ResourceExhaustedError(text);
    return absl::UnavailableError(text);
}

} // namespace

FileStorage::FileStorage(std::string givenPath)
    : path(std::move(givenPath))
{
}

FileStorage::~FileStorage()
{
    this->closeAppendFile();
    if (this->lockDescriptor >= 0)
        ::close(this->lockDescriptor);
    if (this->folderDescriptor >= 0)
        ::close(this->folderDescriptor);
}

absl::StatusOr<std::shared_ptr<FileStorage>> FileStorage::open(const std::string &path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    std::shared_ptr<FileStorage> storage(new FileStorage(path));
    storage->folderDescriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (storage->folderDescriptor < 0)
        return statusFromErrno("open folder", path);
    storage->lockDescriptor =
        ::openat(storage->folderDescriptor, LockFileName, O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (storage->lockDescriptor < 0)
        return statusFromErrno("open the lock file in", path);
    if (::flock(storage->lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return absl::UnavailableError(absl::StrCat("another process has locked folder ", path));
    return storage;
}

absl::StatusOr<std::vector<std::string>> FileStorage::list()
{
    std::vector<std::string> names;
    std::error_code error;
    std::filesystem::directory_iterator entry(this->path, error);
    const std::filesystem::directory_iterator end;
    for (; !error && entry != end; entry.increment(error))
        names.push_back(entry->path().filename().string());
    if (error)
        return absl::UnavailableError(absl::StrCat("list: ", error.message()));
    std::sort(names.begin(), names.end());
    return names;
}

absl::StatusOr<std::string> FileStorage::read(const std::string &name)
{
    const int descriptor = ::openat(this->folderDescriptor, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return statusFromErrno("open", name);
    std::string bytes;
    std::vector<char> buffer(ReadBufferBytes);
    ssize_t count = 0;
    do {
        count = ::read(descriptor, buffer.data(), buffer.size());
        if (count > 0)
            bytes.append(buffer.data(), static_cast<std::size_t>(count));
    } while (count > 0 || (count < 0 && errno == EINTR));
    const absl::Status status = count < 0 ? statusFromErrno("read", name) : absl::OkStatus();
    ::close(descriptor);
    if (!status.ok())
        return status;
    return bytes;
}

absl::Status FileStorage::append(const std::string &name, std::string_view bytes)
{
    if (absl::Status opened = this->openForAppend(name); !opened.ok())
        return opened;
    while (!bytes.empty()) {
        const ssize_t count = ::write(this->appendFileDescriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return statusFromErrno("append", name);
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return absl::OkStatus();
}

absl::Status FileStorage::sync(const std::string &name)
{
    if (absl::Status opened = this->openForAppend(name); !opened.ok())
        return opened;
    if (::fdatasync(this->appendFileDescriptor) != 0)
        return statusFromErrno("sync", name);
    return absl::OkStatus();
}

absl::Status FileStorage::truncate(const std::string &name, std::uint64_t size)
{
    if (absl::Status opened = this->openForAppend(name); !opened.ok())
        return opened;
    if (::ftruncate(this->appendFileDescriptor, static_cast<off_t>(size)) != 0)
        return statusFromErrno("truncate", name);
    return absl::OkStatus();
}

absl::Status FileStorage::rename(const std::string &from, const std::string &to)
{
    this->closeAppendFile();
    if (::renameat(this->folderDescriptor, from.c_str(), this->folderDescriptor, to.c_str()) != 0)
        return statusFromErrno("rename", from);
    return absl::OkStatus();
}

absl::Status FileStorage::remove(const std::string &name)
{
    this->closeAppendFile();
    if (::unlinkat(this->folderDescriptor, name.c_str(), 0) != 0)
        return statusFromErrno("remove", name);
    return absl::OkStatus();
}

absl::Status FileStorage::syncFolder()
{
    if (::fsync(this->folderDescriptor) != 0)
        return statusFromErrno("sync folder", this->path);
    return absl::OkStatus();
}

absl::Status FileStorage::openForAppend(const std::string &name)
{
    if (this->appendFileDescriptor >= 0 && this->appendFileName == name)
        return absl::OkStatus();
    this->closeAppendFile();
    this->appendFileDescriptor = ::openat(this->folderDescriptor, name.c_str(),
                                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (this->appendFileDescriptor < 0)
        return statusFromErrno("open", name);
    this->appendFileName = name;
    return absl::OkStatus();
}

void FileStorage::closeAppendFile()
{
    if (this->appendFileDescriptor >= 0)
        ::close(this->appendFileDescriptor);
    this->appendFileDescriptor = -1;
}

} // namespace rhubarbweir
