#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace clementinebeam {

/// Measures the delay of the event loop with a periodic timer.
///
/// Under a load that exceeds the processor share, requests wait unread in their sockets, and their
/// callers may time out before they are forwarded. A request that is read now may have arrived up
/// to the measured lag ago.
class loop_lag
{
public:
    explicit loop_lag(boost::asio::io_context &context);

    void start();
    void stop() { m_timer.cancel(); }

    /// @return the current lag; zero while the loop keeps up.
    std::chrono::microseconds value() const { return m_lag; }

private:
    void onTick(instant due);

    boost::asio::steady_timer m_timer;
    std::chrono::microseconds m_lag{0};
    bool m_wasLagging = false;
};

} // namespace clementinebeam
