#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>
#include <deque>
#include <optional>

namespace clementinebeam {

/// The requests that a cold target of a service may get.
struct warm_up_limit {
    double rate = 0.0; ///< Requests a second that it takes from all instances together.
    /// It must not get more than the rate times the factor plus the slack in any second.
    double factor = 1.0;
    double slack = 0.0;

    bool operator==(const warm_up_limit &) const = default;
};

/// Paces the requests that one coordinator places on one target while it is cold.
///
/// Let B be the largest number of requests that may reach the target in any second, and L the
/// longest time from a placement to the arrival of its request. What arrives within a second was
/// placed within a window of one second and L. The pacer lets through at most B / PLACERS requests
/// in each such window, so the bound holds with PLACERS coordinators that know nothing of each
/// other: a successor, and a predecessor that still places requests because it has not heard of it.
/// Instances without a coordinator place nothing on cold targets, so their number does not matter.
/// Requests that were placed while the target was warm are counted as well, so that the bound holds
/// from the moment at which the coordinator knows that the target is cold.
class warm_up_pacer
{
public:
    /// Time from a placement within which its request has to be sent.
    static constexpr std::chrono::milliseconds PLACEMENT_LIFETIME{100};
    /// Longest time from a placement to the arrival of the request: its lifetime, and the time that
    /// a connection may take.
    static constexpr std::chrono::milliseconds MAX_LATENESS{500};
    /// Coordinators that may place requests at the same time.
    static constexpr int PLACERS = 2;

    explicit warm_up_pacer(const warm_up_limit &limit);

    /// Changes the limit; requests that were placed before still count.
    void setLimit(const warm_up_limit &limit);

    /// Counts a request that is placed, also while the target is warm.
    void consume(instant now);

    /// @return when the next request may be placed on the cold target; may be in the past. The far
    ///     future if the limit allows none.
    instant readyAt() const;

    /// @return the time between two requests at the full rate; zero if none is allowed.
    boot_clock::duration interval() const { return m_interval; }

    /// @return the requests a second that are let through.
    double rate() const { return m_rate; }

private:
    warm_up_limit m_limit;
    double m_rate = 0.0;
    std::size_t m_maxPlaced = 0; ///< In any window of one second and MAX_LATENESS.
    boot_clock::duration m_interval{0};
    std::deque<instant> m_placed; ///< The last m_maxPlaced ones.
};

} // namespace clementinebeam
