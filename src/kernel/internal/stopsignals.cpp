#include "clementinebeam/kernel/stopsignals.h"

#include <csignal>

namespace clementinebeam {

namespace {

sigset_t stopSignalSet()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

stop_signals::stop_signals()
{
    const auto signals = stopSignalSet();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int stop_signals::wait()
{
    const auto signals = stopSignalSet();
    int signal = 0;
    sigwait(&signals, &signal);
    return signal;
}

} // namespace clementinebeam
