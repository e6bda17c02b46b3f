// See settings_file.hpp. Passes inih one line at a time, so that each entry gets its line number
// and lines that inih does not recognize can be reported.
#include "programs/support/settings_file.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <ini.h>

#include <cstring>
#include <sstream>

namespace rhubarbweir {

namespace {

class IniReader
{
public:
    IniReader(const std::string &source, std::string file)
        : text(source)
        , fileName(std::move(file))
    {
    }

    SettingsFileContent parse()
    {
        ini_parse_stream(&IniReader::nextLine, this, &IniReader::onEntry, this);
        this->finishLine();
        return std::move(this->content);
    }

private:
    static char *nextLine(char *buffer, int size, void *stream)
    {
        return static_cast<IniReader *>(stream)->readLine(buffer, size);
    }

    static int onEntry(void *user, const char *section, const char *name, const char *value)
    {
        static_cast<IniReader *>(user)->addEntry(section, name, value);
        return 1;
    }

    char *readLine(char *buffer, int size)
    {
        this->finishLine();
        if (!std::getline(this->text, this->currentLine))
            return nullptr;
        ++this->lineNumber;
        this->entryOnLine = false;
        if (this->currentLine.size() + 2 > static_cast<std::size_t>(size)) {
            this->addFault(absl::StrCat(this->currentLine.size(), " bytes"),
                           absl::StrCat("a line of at most ", size - 2,
                                        " bytes; a list may continue on indented lines"));
            this->currentLine.clear();
        }
        std::memcpy(buffer, this->currentLine.c_str(), this->currentLine.size() + 1);
        std::strcat(buffer, "\n");
        return buffer;
    }

    void addEntry(const char *section, const char *name, const char *value)
    {
        this->entryOnLine = true;
        const bool continues = absl::ascii_isspace(
            static_cast<unsigned char>(this->currentLine.empty() ? 'x' : this->currentLine[0]));
        if (continues && !this->content.entries.empty()) {
            SettingsEntry &previous = this->content.entries.back();
            if (previous.section == section && previous.key == name) {
                absl::StrAppend(&previous.value, "\n", value);
                return;
            }
        }
        this->content.entries.push_back({section, name, value, this->lineNumber});
    }

    // Records the line that inih has just processed as a section header, or as an error when it is
    // neither an entry nor a comment.
    void finishLine()
    {
        const absl::string_view line = absl::StripAsciiWhitespace(this->currentLine);
        if (line.empty() || this->entryOnLine || line[0] == ';' || line[0] == '#')
            return;
        const std::size_t end = line.find(']');
        if (line[0] == '[' && end != absl::string_view::npos)
            this->content.sections.push_back(
                {std::string(line.substr(1, end - 1)), this->lineNumber});
        else
            this->addFault(std::string(line), "[section], key = value or a comment after ;");
        this->currentLine.clear();
    }

    void addFault(std::string found, std::string expected)
    {
        this->content.faults.push_back(
            {this->fileName, this->lineNumber, "", "", std::move(found), std::move(expected)});
    }

    std::istringstream text;
    std::string fileName;
    std::string currentLine;
    int lineNumber = 0;
    bool entryOnLine = false;
    SettingsFileContent content;
};

} // namespace

SettingsFileContent parseSettingsText(const std::string &content, const std::string &file)
{
    return IniReader(content, file).parse();
}

} // namespace rhubarbweir
