#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>

namespace clementinebeam {

/// Moving average of how often something happens, which decays to 0 while nothing is observed.
class decaying_share
{
public:
    /// @param halfLife time in which the share decays to half without observations.
    explicit decaying_share(std::chrono::milliseconds halfLife)
        : m_halfLife(halfLife)
    { }

    /// Adds an observation.
    /// @param sample 1 if it happened, otherwise 0.
    /// @param now the time of the observation.
    void add(double sample, instant now);

    /// @return the share at a time, from 0 to 1.
    double value(instant now) const;

private:
    std::chrono::milliseconds m_halfLife;
    double m_share = 0.0; ///< At m_updatedAt.
    instant m_updatedAt{};
};

} // namespace clementinebeam
