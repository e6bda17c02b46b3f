// See table_csv.hpp.
#include "programs/ctl/table_csv.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <istream>
#include <map>
#include <ostream>

namespace rhubarbweir {

namespace {

constexpr const char *HeaderWithoutVersion = "scope,name,field,value";
constexpr const char *HeaderWithVersion = "scope,name,field,value,version";

class CsvReader
{
public:
    CsvTable read(std::istream &in)
    {
        std::string line;
        while (std::getline(in, line)) {
            ++this->lineNumber;
            absl::StripAsciiWhitespace(&line);
            if (!line.empty() && line[0] != '#')
                this->addLine(line);
        }
        if (this->columnCount == 0)
            this->addFault("an empty file", HeaderWithoutVersion);
        return std::move(this->table);
    }

private:
    void addLine(const std::string &line)
    {
        if (this->columnCount == 0)
            this->addHeader(line);
        else
            this->addRow(line);
    }

    void addHeader(const std::string &line)
    {
        this->columnCount = line == HeaderWithVersion ? 5 : 4;
        if (line != HeaderWithoutVersion && line != HeaderWithVersion)
            this->addFault(line, std::string(HeaderWithoutVersion) + " or " + HeaderWithVersion);
    }

    void addRow(const std::string &line)
    {
        const std::vector<std::string> cells = absl::StrSplit(line, ',');
        if (cells.size() != this->columnCount) {
            this->addFault(line, std::to_string(this->columnCount) + " columns");
            return;
        }
        const std::optional<RowScope> scope = enumFromName<RowScope>(cells[0]);
        if (!scope) {
            this->addFault(cells[0], "group or target");
            return;
        }
        CsvRow row{{*scope, cells[1], cells[2]}, cells[3], std::nullopt, this->lineNumber};
        std::uint64_t version = 0;
        if (this->columnCount == 5) {
            if (!absl::SimpleAtoi(cells[4], &version)) {
                this->addFault(cells[4], "a version number");
                return;
            }
            row.version = version;
        }
        const auto [position, added] = this->firstLine.insert({row.key, this->lineNumber});
        if (!added) {
            this->addFault(line,
                           "unique rows; the first is on line " + std::to_string(position->second));
            return;
        }
        this->table.rows.push_back(std::move(row));
    }

    void addFault(const std::string &found, const std::string &expected)
    {
        this->table.faults.push_back({this->lineNumber, found, expected});
    }

    // 0 until the header was read.
    std::size_t columnCount = 0;
    int lineNumber = 0;
    std::map<RowKey, int> firstLine;
    CsvTable table;
};

} // namespace

CsvTable readTableCsv(std::istream &in)
{
    return CsvReader().read(in);
}

void writeTableCsv(const std::vector<TableRow> &rows, std::ostream &out)
{
    out << HeaderWithVersion << "\n";
    for (const TableRow &row : rows)
        out << nameOf(row.key.scope) << ',' << row.key.name << ',' << row.key.field << ','
            << row.value << ',' << row.version << "\n";
}

} // namespace rhubarbweir
