// Reads and writes the configuration table as CSV: scope, name, field, value and, optionally,
// version.
#pragma once

#include "rhubarbweir/state/table_row.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

// A data line of a CSV file.
struct CsvRow
{
    RowKey key;
    std::string value;
    // Absent when the file has no version column.
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
    // `rows` is valid only when this is empty.
    std::vector<CsvFault> faults;
};

// Parses a header line and data lines; returns all errors.
CsvTable readTableCsv(std::istream &in);
void writeTableCsv(const std::vector<TableRow> &rows, std::ostream &out);

} // namespace rhubarbweir
