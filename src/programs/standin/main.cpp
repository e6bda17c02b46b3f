// rhubarb-standin: a small stand-in database for tests and demonstrations.
#include "programs/standin/standin_server.hpp"

#include <getopt.h>
#include <iostream>
#include <string>
#include <sysexits.h>

namespace {

constexpr char Usage[] = "usage: rhubarb-standin --settings FILE [--check-settings]\n"
                         "  -s, --settings FILE   INI file\n"
                         "  -c, --check-settings  report faults of the settings and exit\n"
                         "  -h, --help\n"
                         "  -v, --version\n";

struct Options
{
    std::string settingsFile;
    bool checkOnly = false;
    // Set when the program has nothing more to do.
    int exitCode = -1;
};

Options parseOptions(int argc, char **argv)
{
    static const option known[] = {{"settings", required_argument, nullptr, 's'},
                                   {"check-settings", no_argument, nullptr, 'c'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {nullptr, 0, nullptr, 0}};
    Options options;
    for (int code = 0; (code = getopt_long(argc, argv, "s:chv", known, nullptr)) != -1;) {
        switch (code) {
        case 's':
            options.settingsFile = optarg;
            break;
        case 'c':
            options.checkOnly = true;
            break;
        case 'h':
            std::cout << Usage;
            options.exitCode = EX_OK;
            return options;
        case 'v':
            std::cout << "rhubarb-standin 0.1.0\n";
            options.exitCode = EX_OK;
            return options;
        default:
            std::cerr << Usage;
            options.exitCode = EX_USAGE;
            return options;
        }
    }
    if (options.settingsFile.empty()) {
        std::cerr << Usage;
        options.exitCode = EX_USAGE;
    }
    return options;
}

int serve(const rhubarbweir::ServerSettings &settings)
{
    const absl::Status logging = rhubarbweir::openEventLog(settings.log);
    if (!logging.ok()) {
        std::cerr << logging << "\n";
        return EX_CANTCREAT;
    }
    rhubarbweir::EventLoop loop;
    rhubarbweir::StandinServer server(loop, settings);
    const absl::Status started = server.start();
    if (!started.ok()) {
        std::cerr << started << "\n";
        return EX_UNAVAILABLE;
    }
    loop.onStopSignal([&loop](int) { loop.stop(); });
    loop.run();
    server.stop();
    return EX_OK;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = parseOptions(argc, argv);
    if (options.exitCode != -1)
        return options.exitCode;
    const auto read = rhubarbweir::readServerSettings(options.settingsFile);
    for (const auto &fault : read.faults) {
        std::cerr << options.settingsFile << ": [" << fault.section << "] " << fault.key
                  << ": expected " << fault.expected << "\n";
    }
    if (!read.faults.empty())
        return EX_CONFIG;
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": no faults\n";
        return EX_OK;
    }
    return serve(read.settings);
}
