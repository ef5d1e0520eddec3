#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace clementinebeam {

/// Limits of the log of a process.
struct log_limits {
    std::size_t bufferBytes = 131072; ///< Text that may wait for a slow reader.
    double linesPerSecond = 150.0;    ///< For lines of level Info and below.
    double burstLines = 300.0;
    double urgentLinesPerSecond = 300.0; ///< For warnings and errors.
};

/// Sets up logging to standard output that never blocks: lines beyond the limits, or that a slow
/// reader leaves no room for, are dropped and counted.
/// @param instance name that each line carries.
/// @param limits the limits.
void startBoundedLogging(const std::string &instance, const log_limits &limits);

/// Writes waiting lines as far as standard output takes them. To be called about four times a
/// second and before the process ends.
void flushBoundedLog();

/// @return lines dropped since the start.
std::uint64_t droppedLogLines();

} // namespace clementinebeam
