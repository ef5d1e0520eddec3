#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>
#include <cstdint>

namespace clementinebeam {

/// Decides when a place request is sent again, and when its coordinator counts as silent.
///
/// Large answers fill the link of a small instance for some hundred milliseconds, and datagrams
/// wait behind them. If the instance took the coordinator for silent at once, it would place
/// requests by what it knows itself, which targets often refuse. If it waited long, requests
/// would miss their objective whenever a coordinator is lost. So it waits in proportion to the time
/// that the request has. Reads no clock.
class answer_patience
{
public:
    /// @param objective the latest answer to the caller that meets the latency objective.
    /// @param askedAt when the first message was sent since the coordinator last answered.
    /// @return how long the coordinator may stay silent.
    static std::chrono::milliseconds limit(instant objective, instant askedAt);

    /// @param objective the latest answer to the caller that meets the latency objective.
    /// @param askedAt when the first message was sent since the coordinator last answered.
    /// @param now the present time.
    /// @return whether the coordinator counts as silent.
    static bool isExhausted(instant objective, instant askedAt, instant now)
    {
        return now >= askedAt + limit(objective, askedAt);
    }

    /// @param objective the latest answer to the caller that meets the latency objective.
    /// @param askedAt when the first message was sent since the coordinator last answered.
    /// @param unanswered messages sent since then, at least 1.
    /// @param now the present time.
    /// @return the time until the next message, or until the coordinator counts as silent.
    static std::chrono::milliseconds nextDelay(instant objective, instant askedAt,
                                               std::uint32_t unanswered, instant now);
};

} // namespace clementinebeam
