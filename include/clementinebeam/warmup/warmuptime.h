#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>

namespace clementinebeam {

/// Until when a target is cold, by what it wrote about that.
///
/// A target writes its remaining warm-up time with each heartbeat, and may become cold again at any
/// moment. A value counts from its reading on, which is later than its writing, so that a target
/// never counts as warm too early; one that is read once more without a new write does not count
/// again. Does no I/O.
class warm_up_time
{
public:
    /// Notes a value that was read.
    /// @param remaining the remaining warm-up time as the target wrote it.
    /// @param writtenAt when a new write of the target was last read; zero if none was.
    /// @param now time of the reading.
    void note(std::chrono::milliseconds remaining, instant writtenAt, instant now);

    /// @return until when the target is cold; may be in the past.
    instant coldUntil() const { return m_until; }

private:
    std::chrono::milliseconds m_remaining{0}; ///< The value that was read last.
    instant m_writtenAt{};
    instant m_until{};
};

} // namespace clementinebeam
