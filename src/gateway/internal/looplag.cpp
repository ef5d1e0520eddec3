#include "internal/looplag.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds INTERVAL{100};
/// Lags below this are the ordinary lateness of timers.
constexpr milliseconds NEGLIGIBLE{30};
/// Lag from which it is reported.
constexpr milliseconds NOTABLE{200};

} // namespace

loop_lag::loop_lag(boost::asio::io_context &context)
    : m_timer(context)
{ }

void loop_lag::start()
{
    const auto due = boot_clock::now() + INTERVAL;
    m_timer.expires_after(INTERVAL);
    m_timer.async_wait([this, due](boost::system::error_code error) {
        if (error)
            return;
        onTick(due);
        start();
    });
}

void loop_lag::onTick(instant due)
{
    const auto late = boot_clock::now() - due;
    // It rises at once and falls step by step, as a backlog takes several rounds to be read.
    const auto lag = std::max<microseconds>(late, m_lag / 2);
    m_lag = lag < NEGLIGIBLE ? microseconds(0) : lag;
    const bool isLagging = m_lag >= NOTABLE;
    if (isLagging == m_wasLagging)
        return;
    m_wasLagging = isLagging;
    log_line(log_level::Warning, isLagging ? "loop_lagging" : "loop_caught_up")
            .add("lag_us", m_lag.count());
}

} // namespace clementinebeam
