// Tests of settings files, their validation and command-line parsing.
#include "programs/support/command_line.hpp"
#include "programs/support/control_program_settings.hpp"
#include "programs/support/proxy_program_settings.hpp"
#include "programs/support/settings_values.hpp"
#include "programs/support/standin_program_settings.hpp"

#include <criterion/criterion.h>

#include <sstream>

using namespace rhubarbweir;
using namespace std::chrono_literals;

namespace {

const std::string ValidProxySettings = R"([instance]
id = proxy-1 ; the first one
failure_domain = erie-south
known_failure_domains = erie-south,
    michigan-west
[listen]
address = 127.0.0.1:7201
[control]
addresses = 127.0.0.1:7101, 127.0.0.1:7102
renew_interval = 250ms
)";

const std::string ValidControlSettings = R"([instance]
id = control-1
failure_domain = erie-south
known_failure_domains = erie-south, michigan-west, huron-bay
[listen]
address = 127.0.0.1:7101
[storage]
data_folder = /tmp
[quorum]
voters = control-1@127.0.0.1:7101@erie-south
    control-2@127.0.0.1:7102@michigan-west
    control-3@127.0.0.1:7103@huron-bay
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos, "%s is not in the text", from.c_str());
    return text.replace(at, from.size(), to);
}

std::string faultsOf(const SettingsSchema &schema, const std::string &content)
{
    std::ostringstream out;
    for (const SettingsFault &fault : schema.loadText(content, "x.ini").faults)
        out << fault << "\n";
    return out.str();
}

void assertFault(const SettingsSchema &schema, const std::string &content,
                 const std::string &expected)
{
    const std::string faults = faultsOf(schema, content);
    cr_assert(faults.find(expected) != std::string::npos, "expected %s, got: %s", expected.c_str(),
              faults.c_str());
}

CommandLine parse(std::vector<std::string> arguments, std::string *output = nullptr)
{
    std::vector<char *> argv;
    for (std::string &argument : arguments)
        argv.push_back(argument.data());
    CommandDescription description{
        "tool", "Does it.", "[NAME]", {{"limit", "N", "A limit.", false}}, ""};
    std::ostringstream out;
    const CommandLine line =
        parseCommandLine(static_cast<int>(argv.size()), argv.data(), description, out, out);
    if (output != nullptr)
        *output = out.str();
    return line;
}

} // namespace

Test(settings, valid_file, .description = "values, defaults and continued lists are read")
{
    const LoadedSettings loaded = proxySettingsSchema().loadText(ValidProxySettings, "x.ini");
    cr_assert(loaded.faults.empty(), "%s",
              faultsOf(proxySettingsSchema(), ValidProxySettings).c_str());
    const ProxyProgramSettings proxy = proxySettingsFrom(loaded.settings);
    cr_assert(proxy.id == InstanceId("proxy-1"));
    cr_assert(proxy.knownFailureDomains.size() == 2);
    cr_assert(proxy.controlAddresses.size() == 2);
    cr_assert(proxy.renewInterval == 250ms);
    cr_assert(proxy.maxCallers == 4000);
    cr_assert(proxy.advertisedAddress == "127.0.0.1:7201");
}

Test(settings, all_faults, .description = "every fault is reported, with its line")
{
    const std::string content = R"([instance]
id = a
id = b
colour = red
failure_domain = erie-south
known_failure_domains = erie-south
this is no setting
[listen]
address = localhost:7201
[control]
addresses = 127.0.0.1:99999
renew_interval = 250
[limits]
max_callers = many
[surprise]
key = 1
)";
    const std::string faults = faultsOf(proxySettingsSchema(), content);
    for (const char *expected :
         {"x.ini:3: [instance] id: found a second value, expected one value; the first is on line "
          "2",
          "x.ini:4: [instance] colour: found an unknown key", "x.ini:7: found this is no setting",
          "x.ini:9: [listen] address: found \"localhost:7201\"",
          "x.ini:11: [control] addresses: found \"127.0.0.1:99999\"",
          "x.ini:12: [control] renew_interval: found \"250\", expected a duration from 50ms to 5s",
          "x.ini:14: [limits] max_callers: found \"many\", expected an integer from 1",
          "x.ini:15: [surprise] found an unknown section"})
        cr_assert(faults.find(expected) != std::string::npos, "missing: %s in %s", expected,
                  faults.c_str());
    cr_assert(std::count(faults.begin(), faults.end(), '\n') == 8);
}

Test(settings, missing, .description = "a missing setting without a default is reported")
{
    assertFault(proxySettingsSchema(), replaced(ValidProxySettings, "id = proxy-1", "; none"),
                "x.ini: [instance] id: found no value");
    cr_assert(proxySettingsSchema().load("/nonexistent/x.ini").faults.size() == 1);
}

Test(settings, long_line,
     .description = "a line too long for the parser is reported, not truncated")
{
    assertFault(proxySettingsSchema(), ValidProxySettings + "; " + std::string(300, 'x') + "\n",
                "x.ini:11: found 302 bytes");
}

Test(settings, failure_domains, .description = "an unknown failure domain is reported")
{
    assertFault(proxySettingsSchema(),
                replaced(ValidProxySettings, "= erie-south\n", "= erie-north\n"),
                "x.ini:3: [instance] failure_domain: found \"erie-north\"");
    assertFault(controlSettingsSchema(), replaced(ValidControlSettings, "@huron-bay", "@huron-boy"),
                "[quorum] voters: found \"huron-boy\"");
}

Test(settings, addresses, .description = "an address given twice is reported")
{
    assertFault(proxySettingsSchema(),
                replaced(ValidProxySettings, "127.0.0.1:7102", "127.0.0.1:7201"),
                "x.ini:9: [control] addresses: found duplicate \"127.0.0.1:7201\"");
    assertFault(controlSettingsSchema(),
                replaced(ValidControlSettings, "127.0.0.1:7103", "127.0.0.1:7102"),
                "unique addresses");
}

Test(settings, control, .description = "the quorum's settings are validated against each other")
{
    cr_assert(faultsOf(controlSettingsSchema(), ValidControlSettings).empty(), "%s",
              faultsOf(controlSettingsSchema(), ValidControlSettings).c_str());
    assertFault(
        controlSettingsSchema(),
        replaced(ValidControlSettings, "data_folder = /tmp", "data_folder = /dev/null/data"),
        "x.ini:8: [storage] data_folder: found \"/dev/null/data\", expected a writable");
    assertFault(controlSettingsSchema(),
                replaced(ValidControlSettings, "    control-3@127.0.0.1:7103@huron-bay\n", ""),
                "found 2 voters, expected an odd number");
    assertFault(controlSettingsSchema(), ValidControlSettings + "heartbeat = 200ms\n",
                "election_timeout_min: found 250ms, expected at least twice the heartbeat");
    assertFault(controlSettingsSchema(),
                replaced(ValidControlSettings, "id = control-1", "id = control-9"),
                "expected an id among the voters or spares");
}

Test(settings, values, .description = "durations, numbers and addresses are parsed exactly")
{
    cr_assert(parseDuration("2s") == Duration(2s));
    cr_assert(parseDuration("400ms") == Duration(400ms));
    for (const char *invalid : {"", "2", "s", "-2s", "2 s", "1.5s", "99999999999999999h", "2sec"})
        cr_assert(!parseDuration(invalid), "%s", invalid);
    for (const Duration duration : {Duration(0), Duration(1), Duration(1500ms), Duration(2h)})
        cr_assert(parseDuration(formatDuration(duration)) == duration);
    for (const char *invalid :
         {"", "1.2.3.4", "1.2.3:80", "1.2.3.256:80", "1.2.3.4:0", "1.2.3.4:+5"})
        cr_assert(!isAddress(invalid), "%s", invalid);
    cr_assert(isAddress("127.0.0.1:65535"));
    cr_assert(!parseInteger("12x"));
}

Test(settings, reference, .description = "the reference lists every setting of a schema")
{
    for (const SettingsSchema &schema :
         {proxySettingsSchema(), controlSettingsSchema(), standinSettingsSchema()}) {
        std::ostringstream out;
        writeSettingsReference(schema, out);
        for (const Setting &setting : schema.settings()) {
            cr_assert(out.str().find("| `" + setting.key + "` |") != std::string::npos);
            cr_assert(!setting.defaultValue || setting.defaultValue->empty()
                      || schema.loadText("", "").settings.text(setting.section, setting.key)
                             == *setting.defaultValue);
        }
    }
}

Test(command_line, options, .description = "options and operands are read in any order")
{
    const CommandLine line = parse({"tool", "one", "--limit", "5", "--", "--two"});
    cr_assert(!line.exit);
    cr_assert(line.value("limit") == "5");
    cr_assert(line.operands == (std::vector<std::string>{"one", "--two"}));
}

Test(command_line, faults, .description = "usage errors set the usage exit code")
{
    cr_assert(parse({"tool", "--colour"}).exit == ExitCode::Usage);
    cr_assert(parse({"tool", "--limit"}).exit == ExitCode::Usage);
    std::string output;
    cr_assert(parse({"tool", "--help"}, &output).exit == ExitCode::Success);
    cr_assert(output.find("--limit N") != std::string::npos);
    cr_assert(parse({"tool", "--version"}, &output).exit == ExitCode::Success);
}
