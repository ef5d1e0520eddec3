#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace clementinebeam {

/// Buffer size and rate limits of the process log.
struct log_limits {
    std::size_t bufferBytes = 131072;    ///< Lines are dropped while this much text is unwritten.
    double linesPerSecond = 150.0;       ///< For levels below Warning.
    double burstLines = 300.0;           ///< Burst size of each of the two rate limits.
    double urgentLinesPerSecond = 300.0; ///< For levels Warning and Error.
};

/// Sets up non-blocking logging to standard output.
///
/// Lines over a rate limit, and lines that find the buffer full because the reader is slow, are
/// dropped and counted. Call once, before the first line is logged.
/// @param instance instance name, written in each line.
/// @param limits buffer size and rate limits.
void startBoundedLogging(const std::string &instance, const log_limits &limits);

/// Writes buffered lines to standard output until it would block. Call it about four times a
/// second and before the process exits.
void flushBoundedLog();

/// @return number of lines dropped since the process started.
std::uint64_t droppedLogLines();

} // namespace clementinebeam
