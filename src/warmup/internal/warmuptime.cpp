#include "clementinebeam/warmup/warmuptime.h"

#include <algorithm>

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

void warm_up_time::extendTo(instant until)
{
    m_extendedTo = std::max(m_extendedTo, until);
}

instant warm_up_time::coldUntil() const
{
    return std::max(m_until, m_extendedTo);
}

} // namespace clementinebeam
