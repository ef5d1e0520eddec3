#pragma once

#include "clementinebeam/kernel/bootclock.h"

namespace clementinebeam {

/// Source of time; tests and simulations implement it with virtual time.
class i_clock
{
public:
    virtual ~i_clock() = default;

    /// @return the current time of the steady clock.
    virtual instant now() const = 0;

    /// @return the current wall-clock time.
    virtual wall_time wall() const = 0;
};

/// Reads the clocks of the operating system.
class machine_clock : public i_clock
{
public:
    instant now() const override { return boot_clock::now(); }
    wall_time wall() const override { return wallNow(); }
};

} // namespace clementinebeam
