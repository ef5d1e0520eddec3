#pragma once

namespace clementinebeam {

/// Waits for SIGTERM or SIGINT.
///
/// To be created in the main thread before any other thread, so that all threads block the signals.
class stop_signals
{
public:
    stop_signals();

    /// Waits for a signal.
    /// @return its number.
    int wait();
};

} // namespace clementinebeam
