// The table as CSV: scope, name, field, value and, where known, version.
#pragma once

#include "rhubarbweir/state/table_row.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

// One data line of a CSV file.
struct CsvRow
{
    RowKey key;
    std::string value;
    // Absent where the file has no version column.
    std::optional<std::uint64_t> version;
    int line = 0;
};

struct CsvFault
{
    int line = 0;
    std::string found;
    std::string expected;
};

struct CsvTable
{
    std::vector<CsvRow> rows;
    // `rows` may be used only when this is empty.
    std::vector<CsvFault> faults;
};

// Reads a header line and data lines; reports all faults.
CsvTable readTableCsv(std::istream &in);
void writeTableCsv(const std::vector<TableRow> &rows, std::ostream &out);

} // namespace rhubarbweir
