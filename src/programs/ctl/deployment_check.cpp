// See deployment_check.hpp.
#include "programs/ctl/deployment_check.hpp"

#include "programs/ctl/table_csv.hpp"
#include "programs/load/load_settings.hpp"
#include "programs/support/control_program_settings.hpp"
#include "programs/support/ctl_program_settings.hpp"
#include "programs/support/proxy_program_settings.hpp"
#include "programs/support/settings_file.hpp"
#include "programs/support/standin_program_settings.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace rhubarbweir {

namespace {

enum class Program {
    Control,
    Proxy,
    Standin,
    Ctl,
    Load,
};

SettingsSchema schemaOf(Program program)
{
    switch (program) {
    case Program::Control:
        return controlSettingsSchema();
    case Program::Proxy:
        return proxySettingsSchema();
    case Program::Standin:
        return standinSettingsSchema();
    case Program::Ctl:
        return ctlSettingsSchema();
    case Program::Load:
        break;
    }
    return loadSettingsSchema();
}

// Returns the program that a settings file is for, identified by a section that only this program
// has.
Program programOf(const SettingsFileContent &content)
{
    for (const SettingsSectionStart &start : content.sections) {
        if (start.section == "quorum")
            return Program::Control;
        if (start.section == "target")
            return Program::Standin;
        if (start.section == "operator")
            return Program::Ctl;
        if (start.section == "load")
            return Program::Load;
    }
    return Program::Proxy;
}

class DeploymentChecker
{
public:
    DeploymentCheck check(const std::string &folder)
    {
        std::error_code error;
        std::vector<std::string> files;
        for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
            if (entry.path().extension() == ".ini")
                files.push_back(entry.path().string());
        }
        if (error || files.empty()) {
            this->result.faults.push_back({folder, 0, "", "", "no settings files", "*.ini"});
            return std::move(this->result);
        }
        std::sort(files.begin(), files.end());
        for (const std::string &file : files)
            this->checkFile(file);
        for (const ControlReference &reference : this->references)
            this->checkReference(reference);
        this->checkTable(folder + "/table.csv");
        return std::move(this->result);
    }

private:
    // An address that has to be the listen address of a control instance.
    struct ControlReference
    {
        Settings settings;
        std::string address;
    };

    void checkFile(const std::string &file)
    {
        std::ifstream stream(file);
        std::ostringstream content;
        content << stream.rdbuf();
        const Program program = programOf(parseSettingsText(content.str(), file));
        const LoadedSettings loaded = schemaOf(program).loadText(content.str(), file);
        this->result.faults.insert(this->result.faults.end(), loaded.faults.begin(),
                                   loaded.faults.end());
        if (!loaded.faults.empty() || program == Program::Load)
            return;
        this->checkAcrossFiles(program, loaded.settings);
    }

    void checkAcrossFiles(Program program, const Settings &settings)
    {
        if (program != Program::Control) {
            for (const std::string &address : settings.list("control", "addresses"))
                this->references.push_back({settings, address});
        }
        if (program == Program::Ctl)
            return;
        this->requireUnique(settings, "instance", "id");
        this->requireUnique(settings, "listen", "address");
        this->requireUnique(settings, "log", "file");
        this->requireSameList(settings, "instance", "known_failure_domains");
        if (program == Program::Control) {
            ++this->result.controlCount;
            this->controlAddresses.insert(settings.text("listen", "address"));
            this->requireUnique(settings, "storage", "data_folder");
            this->requireSameList(settings, "quorum", "voters");
        } else if (program == Program::Proxy) {
            ++this->result.proxyCount;
        } else {
            ++this->result.targetCount;
            this->requireUnique(settings, "files", "report");
            this->requireUnique(settings, "files", "journal");
        }
    }

    // Requires that no other file has the same value.
    void requireUnique(const Settings &settings, const std::string &section, const std::string &key)
    {
        const std::string value = settings.text(section, key);
        if (value.empty())
            return;
        const auto [owner, added] = this->uniqueValues.insert({{key, value}, settings.file()});
        if (!added)
            this->result.faults.push_back(
                faultAt(settings, section, key, "\"" + value + "\"",
                        "a unique value; " + owner->second + " has the same"));
    }

    // Requires that all files with this setting have the same list.
    void requireSameList(const Settings &settings, const std::string &section,
                         const std::string &key)
    {
        const std::vector<std::string> value = settings.list(section, key);
        const auto [first, added] = this->sharedLists.insert({key, {value, settings.file()}});
        if (!added && first->second.first != value)
            this->result.faults.push_back(faultAt(settings, section, key, "a different list",
                                                  "the list of " + first->second.second));
    }

    void checkReference(const ControlReference &reference)
    {
        if (this->controlAddresses.count(reference.address) == 0)
            this->result.faults.push_back(
                faultAt(reference.settings, "control", "addresses", "\"" + reference.address + "\"",
                        "the listen address of a control instance in this folder"));
    }

    void checkTable(const std::string &file)
    {
        std::ifstream stream(file);
        if (!stream)
            return;
        for (const CsvFault &fault : readTableCsv(stream).faults)
            this->result.faults.push_back({file, fault.line, "", "", fault.found, fault.expected});
    }

    DeploymentCheck result;
    std::set<std::string> controlAddresses;
    std::vector<ControlReference> references;
    // Maps key and value to the file that has them.
    std::map<std::pair<std::string, std::string>, std::string> uniqueValues;
    // Maps a key to the first list found and its file.
    std::map<std::string, std::pair<std::vector<std::string>, std::string>> sharedLists;
};

} // namespace

DeploymentCheck checkDeployment(const std::string &folder)
{
    return DeploymentChecker().check(folder);
}

} // namespace rhubarbweir
