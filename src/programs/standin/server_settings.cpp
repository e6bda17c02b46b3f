// See server_settings.hpp.
#include "programs/standin/server_settings.hpp"

#include <INIReader.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace rhubarbweir {

namespace {

// Reads typed values and collects faults.
class SettingsReader
{
public:
    explicit SettingsReader(const std::string &file)
        : ini(file)
    {
        if (this->ini.ParseError() < 0)
            this->fault("", "", "a readable settings file");
        if (this->ini.ParseError() > 0)
            this->fault("", "line " + std::to_string(this->ini.ParseError()), "key = value");
    }

    std::string text(const std::string &section, const std::string &key, const std::string &unset)
    {
        return this->ini.GetString(section, key, unset);
    }

    std::string required(const std::string &section, const std::string &key)
    {
        std::string value = this->text(section, key, "");
        if (value.empty())
            this->fault(section, key, "a value");
        return value;
    }

    template<typename Number>
    void number(const std::string &section, const std::string &key, Number &value)
    {
        const std::string text = this->text(section, key, "");
        if (!text.empty() && !absl::SimpleAtoi(text, &value))
            this->fault(section, key, "a whole number");
    }

    void fraction(const std::string &section, const std::string &key, double &value)
    {
        const std::string text = this->text(section, key, "");
        if (!text.empty() && (!absl::SimpleAtod(text, &value) || value < 0 || value > 1))
            this->fault(section, key, "a number from 0 to 1");
    }

    // Milliseconds in the file, fractions allowed.
    void milliseconds(const std::string &section, const std::string &key, Duration &value)
    {
        const std::string text = this->text(section, key, "");
        double read = 0;
        if (text.empty())
            return;
        if (!absl::SimpleAtod(text, &read) || read < 0)
            this->fault(section, key, "milliseconds, 0 or more");
        else
            value = Duration(static_cast<std::int64_t>(read * 1000));
    }

    void fault(const std::string &section, const std::string &key, const std::string &expected)
    {
        this->faults.push_back(ServerSettingsFault{section, key, expected});
    }

    std::vector<ServerSettingsFault> faults;

private:
    INIReader ini;
};

void readDatabase(SettingsReader &reader, DatabaseSettings &database)
{
    database.target = TargetId(reader.required("target", "id"));
    database.group = GroupId(reader.required("target", "group"));
    reader.number("limits", "slots", database.limits.slots);
    reader.number("limits", "connections", database.limits.connections);
    reader.number("limits", "hard_connections", database.hardConnectionLimit);
    reader.number("timing", "seed", database.seed);
    reader.milliseconds("timing", "service_time_ms", database.serviceTime);
    const std::string service = reader.text("timing", "service", "fixed");
    if (service != "fixed" && service != "exponential")
        reader.fault("timing", "service", "fixed or exponential");
    database.exponentialService = service == "exponential";
    reader.milliseconds("timing", "connection_setup_ms", database.connectionSetup);
    reader.milliseconds("timing", "behind_wait_ms", database.behindWait);
    reader.milliseconds("timing", "replication_delay_ms", database.replicationDelay);
    ApplyLagSettings &lag = database.applyLag;
    reader.milliseconds("lag", "least_ms", lag.least);
    reader.milliseconds("lag", "greatest_ms", lag.greatest);
    reader.milliseconds("lag", "hold_for_ms", lag.holdFor);
    reader.fraction("lag", "spell_share", lag.spellShare);
    reader.milliseconds("lag", "spell_lag_ms", lag.spellLag);
    reader.milliseconds("lag", "spell_for_ms", lag.spellFor);
    if (lag.greatest < lag.least)
        reader.fault("lag", "greatest_ms", "at least least_ms");
}

} // namespace

ServerSettingsResult readServerSettings(const std::string &file)
{
    SettingsReader reader(file);
    ServerSettingsResult result;
    ServerSettings &settings = result.settings;
    readDatabase(reader, settings.database);
    settings.address = reader.required("target", "address");
    settings.failureDomain = FailureDomainId(reader.required("target", "failure_domain"));
    const std::string controls = reader.text("control", "addresses", "");
    for (absl::string_view address : absl::StrSplit(controls, ',', absl::SkipWhitespace()))
        settings.controlAddresses.emplace_back(absl::StripAsciiWhitespace(address));
    reader.milliseconds("control", "announce_interval_ms", settings.announceInterval);
    reader.milliseconds("timing", "status_interval_ms", settings.statusInterval);
    reader.milliseconds("files", "report_interval_ms", settings.reportInterval);
    settings.reportFile = reader.text("files", "report", "");
    settings.journalFile = reader.text("files", "journal", "");
    settings.log.file = reader.text("log", "file", "");
    settings.log.instance = settings.database.target.value;
    const auto level = reader.text("log", "level", "info");
    const std::vector<std::pair<std::string, LogLevel>> levels{{"debug", LogLevel::Debug},
                                                               {"info", LogLevel::Info},
                                                               {"warning", LogLevel::Warning},
                                                               {"error", LogLevel::Error}};
    bool isLevel = false;
    for (const auto &[name, value] : levels) {
        if (name == level) {
            settings.log.level = value;
            isLevel = true;
        }
    }
    if (!isLevel)
        reader.fault("log", "level", "debug, info, warning or error");
    result.faults = reader.faults;
    return result;
}

} // namespace rhubarbweir
