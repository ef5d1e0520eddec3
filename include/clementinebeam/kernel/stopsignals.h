#pragma once

namespace clementinebeam {

/// Blocks SIGTERM and SIGINT and waits for one of them.
///
/// Create it in the main thread before any other thread, so that all threads inherit the signal
/// mask.
class stop_signals
{
public:
    /// Blocks the signals in the calling thread.
    stop_signals();

    /// Waits until one of the signals arrives.
    /// @return the signal number.
    int wait();
};

} // namespace clementinebeam
