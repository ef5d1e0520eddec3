#pragma once

#include "clementinebeam/kernel/bootclock.h"

namespace clementinebeam {

/// Spaces requests so that they do not exceed a rate (the generic cell rate algorithm).
///
/// In any time window, at most the rate times its length and BURST more requests are let through.
class rate_pacer
{
public:
    /// Requests that may follow each other at once after a pause.
    static constexpr int BURST = 2;
    /// Lower rates count as this one, in requests a second. A target that gets no request at all
    /// can't state that its limit has ended.
    static constexpr double MIN_RATE = 0.1;

    /// Lets one request through at once, as others may have been sent before the rate was known.
    /// @param rate requests a second.
    rate_pacer(double rate, instant now);

    /// Changes the rate; requests that were let through before still count.
    void setRate(double rate);

    /// @return when the next request may be sent; may be in the past.
    instant readyAt() const { return m_due - m_interval * (BURST - 1); }

    /// Counts a request that is sent.
    void consume(instant now);

    /// Lets no request through for a part of the time between two requests.
    /// @param share that part, from 0 to 1.
    void delay(double share, instant now);

    /// @return the time between two requests at the full rate.
    boot_clock::duration interval() const { return m_interval; }

private:
    boot_clock::duration m_interval{0};
    instant m_due; ///< When the next request is due if all are spaced evenly.
};

} // namespace clementinebeam
