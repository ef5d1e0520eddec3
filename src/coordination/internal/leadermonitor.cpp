#include "internal/leadermonitor.h"

namespace clementinebeam {

void leader_monitor::begin(instant now)
{
    m_silenceStart = now;
    m_hasHeardLeader = false;
    m_probing = false;
}

void leader_monitor::noteHeartbeat(instant now)
{
    m_silenceStart = now;
    m_hasHeardLeader = true;
    m_probing = false;
}

void leader_monitor::noteLeaderAlive(instant now)
{
    // The leader is alive although its heartbeats do not reach this instance: the link is down, or
    // this instance is not among the observers that receive them. Restart the wait.
    m_silenceStart = now;
    m_hasHeardLeader = false;
    m_probing = false;
}

leader_monitor::decision leader_monitor::decide(std::uint32_t claimPosition, instant now)
{
    const auto wait = m_settings.silenceLimit() + m_settings.claimStagger * claimPosition;
    if (now - m_silenceStart < wait)
        return decision::Wait;
    if (!m_probing) {
        m_probing = true;
        m_probedAt = now;
        return decision::Probe;
    }
    return now - m_probedAt < m_settings.probeTimeout ? decision::Wait : decision::Claim;
}

} // namespace clementinebeam
