#include "clementinebeam/placement/answerpatience.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Round trips within a region take up to 3 ms.
constexpr milliseconds FIRST_RESEND_INTERVAL{45};
/// The interval is doubled with each message, as a full link carries none of them sooner.
constexpr std::uint32_t MAX_DOUBLINGS = 4;
constexpr milliseconds LEAST_LIMIT = FIRST_RESEND_INTERVAL * 3;
constexpr milliseconds LARGEST_LIMIT{250};
/// Part of the time until the objective that a silent coordinator may take.
constexpr int OBJECTIVE_DIVISOR = 3;

} // namespace

milliseconds answer_patience::limit(instant objective, instant askedAt)
{
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(objective - askedAt);
    return std::clamp(timeLeft / OBJECTIVE_DIVISOR, LEAST_LIMIT, LARGEST_LIMIT);
}

milliseconds answer_patience::nextDelay(instant objective, instant askedAt,
                                        std::uint32_t unanswered, instant now)
{
    const auto doublings = std::min(std::max<std::uint32_t>(unanswered, 1) - 1, MAX_DOUBLINGS);
    const auto left = std::chrono::ceil<milliseconds>(askedAt + limit(objective, askedAt) - now);
    return std::clamp(left, milliseconds(1), FIRST_RESEND_INTERVAL * (1 << doublings));
}

} // namespace clementinebeam
