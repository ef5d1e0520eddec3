#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace clementinebeam {

/// Measures how late the event loop gets to its work.
///
/// Answers a load beyond the processor's share: requests then wait unread in their connections, and
/// their callers may have left before they are sent on. What is read now may be as old as the lag.
class loop_lag
{
public:
    explicit loop_lag(boost::asio::io_context &context);

    void start();
    void stop() { m_timer.cancel(); }

    /// @return the present lag; zero while the loop keeps up.
    std::chrono::microseconds value() const { return m_lag; }

private:
    void onTick(instant due);

    boost::asio::steady_timer m_timer;
    std::chrono::microseconds m_lag{0};
    bool m_wasLagging = false;
};

} // namespace clementinebeam
