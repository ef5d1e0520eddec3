#include "internal/leadershipauthority.h"

#include <algorithm>

namespace clementinebeam {

void leadership_authority::begin(term_number term)
{
    m_term = term;
    m_validUntil = {};
    m_heartbeatSendTimes.clear();
}

void leadership_authority::confirmByLog(instant readStart)
{
    m_validUntil = std::max(m_validUntil, readStart + m_settings.isolationLimit);
}

void leadership_authority::noteHeartbeat(std::uint64_t sequence, instant now)
{
    m_heartbeatSendTimes[sequence] = now;
    if (m_heartbeatSendTimes.size() > MAX_UNCONFIRMED_HEARTBEATS)
        m_heartbeatSendTimes.erase(m_heartbeatSendTimes.begin());
}

void leadership_authority::confirmByStandby(std::uint64_t sequence)
{
    const auto sent = m_heartbeatSendTimes.find(sequence);
    if (sent == m_heartbeatSendTimes.end())
        return;
    m_validUntil = std::max(m_validUntil, sent->second + m_settings.isolationLimit);
    m_heartbeatSendTimes.erase(m_heartbeatSendTimes.begin(), std::next(sent));
}

} // namespace clementinebeam
