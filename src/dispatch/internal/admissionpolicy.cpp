#include "clementinebeam/dispatch/admissionpolicy.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Share of the time between objective and deadline in which a late answer still gets a place.
constexpr double LATE_SHARE = 0.35;
/// Callers honour a delay of up to a third of their remaining time.
constexpr int REMAINING_TIME_PARTS = 3;
constexpr milliseconds MIN_DELAY{20};
/// Delays are spread by up to half, in steps of 1/SPREAD_STEPS.
constexpr std::uint64_t SPREAD_STEPS = 64;

} // namespace

instant admission_policy::latestUsefulEnd(instant objective, instant deadline)
{
    if (deadline <= objective)
        return deadline;
    const auto rest = static_cast<double>((deadline - objective).count());
    return objective + std::chrono::microseconds(static_cast<std::int64_t>(rest * LATE_SHARE));
}

bool admission_policy::mayWait(const admission_input &input)
{
    const auto end = input.now + input.expectedWait + input.serviceTime;
    return end <= latestUsefulEnd(input.objective, input.deadline);
}

milliseconds admission_policy::retryAfter(const admission_input &input, request_token token)
{
    const auto left = std::chrono::duration_cast<milliseconds>(input.deadline - input.now);
    const auto most = std::max(MIN_DELAY, left / REMAINING_TIME_PARTS);
    const auto room = std::chrono::duration_cast<milliseconds>(input.expectedWait);
    const auto base = std::clamp(room, MIN_DELAY, most);
    const auto spread = base / 2 * static_cast<std::int64_t>(token % SPREAD_STEPS)
            / static_cast<std::int64_t>(SPREAD_STEPS);
    return std::max(MIN_DELAY, base - spread);
}

} // namespace clementinebeam
