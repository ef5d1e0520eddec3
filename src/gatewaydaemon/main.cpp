#include "clementinebeam/asynchttp/eventloop.h"
#include "clementinebeam/gateway/gatewaymodule.h"
#include "clementinebeam/gateway/gatewaysettings.h"
#include "clementinebeam/kernel/kernel.h"
#include "clementinebeam/kernel/textfile.h"
#include "clementinebeam/observability/boundedlog.h"
#include "clementinebeam/observability/logline.h"
#include "platform/settingspath.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <optional>

DEFINE_string(settings, "", "path of the settings file; the platform's file if empty");
DEFINE_bool(check_settings, false, "check the settings and exit: 0 if they are valid, else 2");

namespace {

using namespace clementinebeam;

constexpr int LARGE_BLOCK_BYTES = 128 * 1024;
constexpr int EXIT_START_FAILED = 1;
constexpr int EXIT_INVALID_SETTINGS = 2;
/// How often the settings file is checked for changes; it may change without a signal.
constexpr std::chrono::seconds SETTINGS_POLL_INTERVAL{5};

std::string settingsPath()
{
    return FLAGS_settings.empty() ? platformSettingsPath() : FLAGS_settings;
}

/// Watches the settings file and reports invalid changes at once. Changed values take effect only
/// at the next start of the process.
class settings_watcher
{
public:
    settings_watcher(boost::asio::io_context &context, std::string text)
        : m_timer(context)
        , m_text(std::move(text))
    {
        schedule();
    }

    void check(const char *cause)
    {
        const auto text = readTextFile(settingsPath());
        const bool isChanged = text && *text != m_text;
        const bool isSignalled = std::string_view(cause) == "signal";
        if (!isChanged && !isSignalled)
            return;
        std::size_t problems = 0;
        if (isChanged) {
            m_text = *text;
            const auto parsed = parseGatewaySettings(m_text);
            if (const auto *found = std::get_if<settings_problems>(&parsed))
                problems = found->size();
        }
        log_line(problems > 0 ? log_level::Error : log_level::Info, "settings_checked")
                .add("cause", cause)
                .add("changed", isChanged ? 1 : 0)
                .add("problems", problems);
    }

private:
    void schedule()
    {
        m_timer.expires_after(SETTINGS_POLL_INTERVAL);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            schedule();
            check("poll");
        });
    }

    boost::asio::steady_timer m_timer;
    std::string m_text;
};

/// Stops on SIGTERM and SIGINT; checks the settings on SIGHUP.
class signal_handler
{
public:
    signal_handler(boost::asio::io_context &context, settings_watcher &watcher,
                   i_gateway_control &control)
        : m_context(context)
        , m_signals(context, SIGTERM, SIGINT, SIGHUP)
        , m_watcher(watcher)
        , m_control(control)
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](boost::system::error_code error, int number) {
            if (error)
                return;
            wait();
            if (number == SIGHUP)
                m_watcher.check("signal");
            else
                m_control.stop([this] { m_context.stop(); });
        });
    }

    boost::asio::io_context &m_context;
    boost::asio::signal_set m_signals;
    settings_watcher &m_watcher;
    i_gateway_control &m_control;
};

int run(const gateway_settings &settings, const std::string &text)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Large bodies go back to the system when they are released. By default, the first one raises
    // the size from which that is so.
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    mallopt(M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES);
    startBoundedLogging(settings.instance, {});
    const auto context = std::make_shared<boost::asio::io_context>(1);
    kernel core;
    core.services().provide<boost::asio::io_context>(context);
    core.services().provide<const gateway_settings>(std::make_shared<gateway_settings>(settings));
    if (const auto error = core.start()) {
        log_line(log_level::Error, "start_failed").add("error", error.message());
        flushBoundedLog();
        return EXIT_START_FAILED;
    }
    log_line(log_level::Info, "started")
            .add("data_centre", settings.dataCentre)
            .add("callers", settings.callerListener.text())
            .add("peers", settings.peerListener.text())
            .add("store", settings.store.text());
    settings_watcher watcher(*context, text);
    const auto control = core.services().find<i_gateway_control>();
    signal_handler signals(*context, watcher, *control);
    runEventLoop(*context);
    core.stop();
    flushBoundedLog();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("clementinebeam's gateway on the users' platform\n"
                            "  clementinebeam-gateway [--settings=FILE] [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto text = readTextFile(settingsPath());
    if (!text) {
        std::cerr << "settings: expected a readable file, found \"" << settingsPath() << "\"\n";
        return EXIT_INVALID_SETTINGS;
    }
    const auto parsed = parseGatewaySettings(*text);
    if (const auto *problems = std::get_if<settings_problems>(&parsed)) {
        for (const auto &problem : *problems)
            std::cerr << problem.text() << '\n';
        return EXIT_INVALID_SETTINGS;
    }
    if (FLAGS_check_settings) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(std::get<gateway_settings>(parsed), *text);
}
