#include "internal/looplag.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds TICK_INTERVAL{100};
/// A smaller lag is normal timer jitter and counts as none.
constexpr milliseconds MIN_LAG{30};
/// Lag from which the loop is reported as lagging.
constexpr milliseconds LOGGED_LAG{200};

} // namespace

loop_lag::loop_lag(boost::asio::io_context &context)
    : m_timer(context)
{ }

void loop_lag::start()
{
    const auto due = boot_clock::now() + TICK_INTERVAL;
    m_timer.expires_after(TICK_INTERVAL);
    m_timer.async_wait([this, due](boost::system::error_code error) {
        if (error)
            return;
        onTick(due);
        start();
    });
}

void loop_lag::onTick(instant due)
{
    const auto delay = boot_clock::now() - due;
    // The lag rises at once but decays by half per tick, because a backlog takes several ticks to
    // be read.
    const auto lag = std::max<microseconds>(delay, m_lag / 2);
    m_lag = lag < MIN_LAG ? microseconds(0) : lag;
    const bool isLagging = m_lag >= LOGGED_LAG;
    if (isLagging == m_wasLagging)
        return;
    m_wasLagging = isLagging;
    log_line(log_level::Warning, isLagging ? "loop_lagging" : "loop_caught_up")
            .add("lag_us", m_lag.count());
}

} // namespace clementinebeam
