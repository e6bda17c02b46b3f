// Prints rows of text in aligned columns.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace rhubarbweir {

class TextTable
{
public:
    explicit TextTable(std::vector<std::string> columnHeaders);

    // `cells` has as many items as there are headers.
    void add(std::vector<std::string> cells);
    void print(std::ostream &out) const;

private:
    // The first row holds the headers; all rows have the same length.
    std::vector<std::vector<std::string>> rows;
};

} // namespace rhubarbweir
