// See journal.hpp. The file contains one JSON object per line.
#include "programs/standin/journal.hpp"

#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <absl/strings/str_cat.h>

#include <filesystem>

namespace rhubarbweir {

namespace {

nlohmann::json toJson(const JournalRecord &record)
{
    nlohmann::json line = nlohmann::json::object();
    if (record.adoptedTerm)
        line["term"] = *record.adoptedTerm;
    if (record.truncatedAfter)
        line["truncated_after"] = *record.truncatedAfter;
    if (record.appended)
        line["appended"] = *record.appended;
    return line;
}

JournalRecord fromJson(const nlohmann::json &line)
{
    JournalRecord record;
    if (line.contains("term"))
        record.adoptedTerm = line["term"].get<std::uint64_t>();
    if (line.contains("truncated_after"))
        record.truncatedAfter = line["truncated_after"].get<std::uint64_t>();
    if (line.contains("appended"))
        record.appended = line["appended"].get<LogEntry>();
    return record;
}

} // namespace

absl::Status Journal::open(const std::string &file,
                           const std::function<void(const JournalRecord &)> &restore)
{
    if (file.empty())
        return absl::OkStatus();
    std::ifstream in(file);
    std::string line;
    std::uintmax_t wholeBytes = 0;
    while (std::getline(in, line)) {
        // An incomplete last record, from a process that ended while writing it, is discarded.
        if (in.eof())
            break;
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_discarded())
            return absl::DataLossError(absl::StrCat("malformed record in journal ", file));
        restore(fromJson(parsed));
        wholeBytes += line.size() + 1;
    }
    std::error_code ignored;
    if (in.is_open())
        std::filesystem::resize_file(file, wholeBytes, ignored);
    this->out.open(file, std::ios::app);
    return this->out.is_open()
               ? absl::OkStatus()
               : absl::UnavailableError(absl::StrCat("cannot open for writing: ", file));
}

void Journal::append(const JournalRecord &record)
{
    if (this->out.is_open())
        this->out << toJson(record).dump() << "\n" << std::flush;
}

} // namespace rhubarbweir
