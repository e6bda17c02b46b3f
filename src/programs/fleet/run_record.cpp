// See run_record.hpp.
#include "programs/fleet/run_record.hpp"

#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <fstream>
#include <unistd.h>

namespace rhubarbweir {

namespace {

constexpr const char *FileName = "run-record";
constexpr mode_t FileMode = 0644;
// All contents have this length, so that a write never has to truncate the file first.
constexpr std::size_t FileBytes = 64;
// What the file says while the process runs, and thus after an end that nothing recorded.
constexpr const char *Running = "abrupt";

} // namespace

RunRecord::RunRecord(const std::string &dataFolder)
    : path(absl::StrCat(dataFolder, "/", FileName))
{
    std::ifstream file(this->path);
    if (!(file >> this->startCount >> this->previousEnd)) {
        this->startCount = 0;
        this->previousEnd = "none";
    }
    ++this->startCount;
    this->write(Running);
}

void RunRecord::endsWith(std::string_view kind) const
{
    this->write(kind);
}

void RunRecord::write(std::string_view end) const
{
    std::string content =
        absl::StrCat(this->startCount, " ", std::string(end)).substr(0, FileBytes - 1);
    content.resize(FileBytes - 1, ' ');
    content += '\n';
    const int file =
        ::open(this->path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | O_NOFOLLOW, FileMode);
    if (file < 0)
        return;
    [[maybe_unused]] const ssize_t written = ::write(file, content.data(), content.size());
    ::close(file);
}

} // namespace rhubarbweir
