#include "internal/standbymonitor.h"

namespace clementinebeam {

void standby_monitor::begin(instant now)
{
    m_lastHeard = now;
    m_heard = false;
    m_probing = false;
}

void standby_monitor::noteHeartbeat(instant now)
{
    m_lastHeard = now;
    m_heard = true;
    m_probing = false;
}

void standby_monitor::noteAlive(instant now)
{
    // Another instance hears the leader, so only the own link is cut; wait once more.
    m_lastHeard = now;
    m_heard = false;
    m_probing = false;
}

standby_monitor::decision standby_monitor::decide(std::uint32_t rank, instant now)
{
    const auto wait = m_settings.silenceLimit() + m_settings.claimStagger * rank;
    if (now - m_lastHeard < wait)
        return decision::Wait;
    if (!m_probing) {
        m_probing = true;
        m_probedAt = now;
        return decision::Probe;
    }
    return now - m_probedAt < m_settings.probeWait ? decision::Wait : decision::Claim;
}

} // namespace clementinebeam
