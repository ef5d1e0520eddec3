#pragma once

#include <chrono>

namespace clementinebeam {

/// Steady clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME).
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// @return the current time; microseconds since boot.
    static time_point now() noexcept;
};

/// A point in time of boot_clock.
using instant = boot_clock::time_point;
/// A point in wall-clock time, in milliseconds since the Unix epoch.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @return the current wall-clock time; milliseconds since the Unix epoch.
wall_time wallNow() noexcept;

} // namespace clementinebeam
