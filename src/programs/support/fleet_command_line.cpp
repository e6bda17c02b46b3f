// See fleet_command_line.hpp.
#include "programs/support/fleet_command_line.hpp"

#include "programs/support/descriptor_limit.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/start_sequence.hpp"
#include "programs/support/unfinished_file.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace rhubarbweir {

namespace {

const option Options[] = {{"settings", required_argument, nullptr, 's'},
                          {"check", no_argument, nullptr, 'c'},
                          {"help", no_argument, nullptr, 'h'},
                          {nullptr, 0, nullptr, 0}};

std::string usage(const std::string &program)
{
    return absl::StrCat("usage: ", program, " [--settings FILE] [--check] [--help]\n",
                        "  --settings FILE  the settings file; default: the path in $",
                        platform::SettingsVariable, "\n",
                        "  --check          validates the settings, reports errors and exits\n");
}

int checkSettings(const std::string &program, const std::string &path)
{
    const auto settings = platform::readProcessSettings(path);
    if (settings.ok())
        std::cout << "the settings are valid\n";
    else
        std::cerr << program << ": " << settings.status().message() << "\n";
    return settings.ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Reads the file once. Errors: InvalidArgument if it is whole and wrong, others if it may change.
absl::StatusOr<platform::ProcessSettings> tryRead(const std::string &path, UnfinishedFile &file)
{
    const auto text = platform::readSettingsText(path);
    if (!text.ok())
        return text.status();
    auto settings = platform::parseProcessSettings(*text);
    if (absl::IsDataLoss(settings.status()) && !file.mayChange(*text, EventLoop::now()))
        return absl::InvalidArgumentError(settings.status().message());
    return settings;
}

} // namespace

FleetStart readFleetCommandLine(EventLoop &loop, int argc, char **argv, const std::string &program)
{
    FleetStart start;
    if (const char *path = std::getenv(platform::SettingsVariable))
        start.settingsPath = path;
    bool checkOnly = false;
    for (int optionCode = 0;
         (optionCode = getopt_long(argc, argv, "s:ch", Options, nullptr)) != -1;) {
        if (optionCode == 's') {
            start.settingsPath = optarg;
        } else if (optionCode == 'c') {
            checkOnly = true;
        } else {
            std::cerr << usage(program);
            start.exit = optionCode == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
            return start;
        }
    }
    if (start.settingsPath.empty()) {
        std::cerr << program << ": no settings file is named\n" << usage(program);
        start.exit = EXIT_FAILURE;
        return start;
    }
    if (checkOnly) {
        start.exit = checkSettings(program, start.settingsPath);
        return start;
    }
    EventLogSettings log;
    log.toStandardOutput = true;
    log.instance = program;
    if (const absl::Status opened = openEventLog(log); !opened.ok()) {
        std::cerr << program << ": " << opened.message() << "\n";
        start.exit = EXIT_FAILURE;
        return start;
    }
    StartSequence sequence(loop);
    sequence.add("settings", [&start, file = UnfinishedFile()]() mutable {
        auto settings = tryRead(start.settingsPath, file);
        if (!settings.ok())
            return settings.status();
        start.settings = *std::move(settings);
        return absl::OkStatus();
    });
    const absl::Status status = sequence.run();
    if (!status.ok()) {
        start.exit = exitOf(status);
        return start;
    }
    start.settings.descriptorLimit = reserveDescriptors(start.settings.descriptorLimit);
    setEventLogInstance(start.settings.instance.value);
    return start;
}

int exitOf(const absl::Status &status)
{
    if (status.ok() || absl::IsCancelled(status))
        return EXIT_SUCCESS;
    logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return EXIT_FAILURE;
}

} // namespace rhubarbweir
