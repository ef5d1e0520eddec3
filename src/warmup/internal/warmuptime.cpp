#include "clementinebeam/warmup/warmuptime.h"

namespace clementinebeam {

void warm_up_time::note(std::chrono::milliseconds remaining, instant writtenAt, instant now)
{
    const bool isSameWrite = remaining == m_remaining && writtenAt == m_writtenAt;
    if (isSameWrite)
        return;
    m_remaining = remaining;
    m_writtenAt = writtenAt;
    m_until = now + remaining;
}

} // namespace clementinebeam
