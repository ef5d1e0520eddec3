#include "internal/leadershipright.h"

#include <algorithm>

namespace clementinebeam {

void leadership_right::begin(term_number term)
{
    m_term = term;
    m_until = {};
    m_sent.clear();
}

void leadership_right::confirmByLog(instant readStart)
{
    m_until = std::max(m_until, readStart + m_settings.isolationLimit);
}

void leadership_right::noteHeartbeat(std::uint64_t sequence, instant now)
{
    m_sent[sequence] = now;
    if (m_sent.size() > MAX_UNCONFIRMED_HEARTBEATS)
        m_sent.erase(m_sent.begin());
}

void leadership_right::confirmByStandby(std::uint64_t sequence)
{
    const auto sent = m_sent.find(sequence);
    if (sent == m_sent.end())
        return;
    m_until = std::max(m_until, sent->second + m_settings.isolationLimit);
    m_sent.erase(m_sent.begin(), std::next(sent));
}

} // namespace clementinebeam
