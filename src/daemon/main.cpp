#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/kernel/kernel.h"
#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/kernel/stopsignals.h"
#include "clementinebeam/kernel/textfile.h"
#include "clementinebeam/observability/logline.h"

#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "", "file with the instance's settings (JSON with comments)");
DEFINE_bool(check_settings, false, "check the settings and exit: 0 if they are valid, else 2");
DEFINE_bool(verbose, false, "write debug lines to the log");

namespace {

using namespace clementinebeam;

constexpr int EXIT_START_FAILED = 1;
constexpr int LARGE_BLOCK_BYTES = 128 * 1024;
constexpr int EXIT_INVALID_SETTINGS = 2;

std::optional<daemon_settings> loadSettings()
{
    const auto text = readTextFile(FLAGS_settings);
    if (!text) {
        std::cerr << "--settings: expected a readable file, found \"" << FLAGS_settings << "\"\n";
        return std::nullopt;
    }
    auto parsed = parseDaemonSettings(*text);
    if (const auto *problems = std::get_if<settings_problems>(&parsed)) {
        for (const auto &problem : *problems)
            std::cerr << problem.text() << '\n';
        return std::nullopt;
    }
    return std::get<daemon_settings>(std::move(parsed));
}

int run(const daemon_settings &settings)
{
    stop_signals stopSignals;
    startLogging(settings.instance, FLAGS_verbose ? log_level::Debug : log_level::Info);
    auto random = makeSystemSeededSource();
    const incarnation_id self{settings.instance, random()};
    kernel core;
    core.services().provide<const daemon_settings>(std::make_shared<daemon_settings>(settings));
    core.services().provide<const incarnation_id>(std::make_shared<incarnation_id>(self));
    if (const auto error = core.start()) {
        log_line(log_level::Error, "start_failed").add("error", error.message());
        return EXIT_START_FAILED;
    }
    log_line(log_level::Info, "started")
            .add("data_centre", settings.dataCentre)
            .add("incarnation", self.incarnation)
            .add("callers", settings.callerListener.text())
            .add("operators", settings.operatorListener.text())
            .add("peers", settings.peerListener.text());
    const int signal = stopSignals.wait();
    log_line(log_level::Info, "stopping").add("signal", signal);
    core.stop();
    log_line(log_level::Info, "stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("clementinebeam's daemon: routes requests to the owners of their keys\n"
                            "  clementinebeamd --settings=FILE [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = loadSettings();
    if (!settings)
        return EXIT_INVALID_SETTINGS;
    // Large bodies go back to the system when they are released. By default, the first one raises
    // the size from which that is so.
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    if (FLAGS_check_settings) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(*settings);
}
