#include "clementinebeam/dispatch/admissionpolicy.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Share of the time between objective and deadline in which a late answer is still useful.
constexpr double USEFUL_LATE_SHARE = 0.35;
/// Callers honour a delay of up to a third of the time until their deadline.
constexpr int MAX_DELAY_DIVISOR = 3;
constexpr milliseconds MIN_DELAY{20};
/// Delays are reduced by up to half, in steps of 1/SPREAD_STEPS of that half.
constexpr std::uint64_t SPREAD_STEPS = 64;

} // namespace

instant admission_policy::latestUsefulEnd(instant objective, instant deadline)
{
    if (deadline <= objective)
        return deadline;
    const auto lateWindow = static_cast<double>((deadline - objective).count());
    return objective
            + std::chrono::microseconds(static_cast<std::int64_t>(lateWindow * USEFUL_LATE_SHARE));
}

bool admission_policy::mayWait(const admission_input &input)
{
    const auto end = input.now + input.expectedWait + input.serviceTime;
    return end <= latestUsefulEnd(input.objective, input.deadline);
}

milliseconds admission_policy::retryAfter(const admission_input &input, request_token token)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(input.deadline - input.now);
    const auto maxDelay = std::max(MIN_DELAY, remaining / MAX_DELAY_DIVISOR);
    const auto wait = std::chrono::duration_cast<milliseconds>(input.expectedWait);
    const auto base = std::clamp(wait, MIN_DELAY, maxDelay);
    const auto spread = base / 2 * static_cast<std::int64_t>(token % SPREAD_STEPS)
            / static_cast<std::int64_t>(SPREAD_STEPS);
    return std::max(MIN_DELAY, base - spread);
}

} // namespace clementinebeam
