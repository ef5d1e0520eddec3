#include "internal/targetsession.h"

#include <algorithm>

namespace clementinebeam {

target_session::target_session(target_id id, const coordination_settings &settings, instant now)
    : m_id(std::move(id))
    , m_settings(settings)
    , m_lastReply(now)
{ }

void target_session::begin(control_request &request, instant now)
{
    request.sequence = ++m_sequence;
    request.nonce = m_nonce;
    request.lease = m_settings.lease;
    for (const auto &grant : request.grants)
        m_unconfirmed.insert(grant.slot);
    m_outstanding = request.sequence;
    m_lastSend = now;
}

bool target_session::complete(std::uint64_t sequence, term_number term, const control_reply &reply,
                              instant now)
{
    if (sequence == 0 || sequence != m_outstanding)
        return false;
    m_outstanding = 0;
    if (!reply.accepted) {
        if (reply.term == term)
            raiseSequence(reply.sequence);
        return true;
    }
    // A lease runs from the issue of the nonce that renews it, which was before the answer arrived;
    // so this also bounds renewals by an earlier leader, and later ones with this nonce.
    m_leaseBound = now + m_settings.withMargin(m_settings.lease);
    m_contacted = true;
    m_nonce = reply.nonce;
    m_draining = reply.draining;
    if (!reply.isUnreachable)
        m_lastReply = now;
    m_unconfirmed.clear();
    m_held.clear();
    for (const auto &grant : reply.held)
        m_held[grant.slot] = grant.epoch;
    m_prepared = {reply.prepared.begin(), reply.prepared.end()};
    return true;
}

void target_session::fail(std::uint64_t sequence)
{
    if (sequence == m_outstanding)
        m_outstanding = 0;
}

bool target_session::mayHold(slot_index slot, instant now, instant fence) const
{
    const bool isKnown = m_contacted && now < m_leaseBound;
    if (isKnown)
        return m_held.contains(slot) || m_unconfirmed.contains(slot);
    // A target that restarted has forgotten the terms that it saw, so a silent one may serve an
    // earlier leader again.
    return now < fence;
}

bool target_session::holds(const slot_grant &grant) const
{
    const auto found = m_held.find(grant.slot);
    return found != m_held.end() && found->second == grant.epoch;
}

bool target_session::isAlive(instant now) const
{
    return m_contacted && now - m_lastReply < m_settings.silenceLimit();
}

bool target_session::isDue(instant now) const
{
    return now - m_lastSend >= m_settings.heartbeatInterval;
}

} // namespace clementinebeam
