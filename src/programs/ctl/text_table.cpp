// See text_table.hpp.
#include "programs/ctl/text_table.hpp"

#include <algorithm>
#include <ostream>

namespace rhubarbweir {

TextTable::TextTable(std::vector<std::string> columnHeaders)
{
    this->rows.push_back(std::move(columnHeaders));
}

void TextTable::add(std::vector<std::string> cells)
{
    this->rows.push_back(std::move(cells));
}

void TextTable::print(std::ostream &out) const
{
    std::vector<std::size_t> widths(this->rows[0].size(), 0);
    for (const auto &row : this->rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto &row : this->rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + 2, ' ');
        }
        out << line.substr(0, line.find_last_not_of(' ') + 1) << "\n";
    }
}

} // namespace rhubarbweir
