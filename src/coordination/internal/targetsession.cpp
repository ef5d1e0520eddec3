#include "internal/targetsession.h"

#include <algorithm>

namespace clementinebeam {

target_session::target_session(target_id id, const coordination_settings &settings, instant now)
    : m_id(std::move(id))
    , m_settings(settings)
    , m_lastReply(now)
{ }

void target_session::beginRequest(control_request &request, instant now)
{
    request.sequence = ++m_sequence;
    request.nonce = m_nonce;
    request.lease = m_settings.lease;
    for (const auto &grant : request.grants)
        m_unconfirmed.insert(grant.slot);
    m_outstandingSequence = request.sequence;
    m_lastSend = now;
}

bool target_session::completeRequest(std::uint64_t sequence, term_number term,
                                     const control_reply &reply, instant now)
{
    if (sequence == 0 || sequence != m_outstandingSequence)
        return false;
    m_outstandingSequence = 0;
    if (!reply.accepted) {
        if (reply.term == term)
            raiseSequence(reply.sequence);
        return true;
    }
    // A renewed lease starts when the target issued the nonce, which was before this reply arrived.
    // The bound thus also holds for renewals by an earlier leader and for later ones with this
    // nonce.
    m_latestLeaseEnd = now + m_settings.withClockMargin(m_settings.lease);
    m_hasAcceptedRequest = true;
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

void target_session::failRequest(std::uint64_t sequence)
{
    if (sequence == m_outstandingSequence)
        m_outstandingSequence = 0;
}

bool target_session::mayHold(slot_index slot, instant now, instant earlierLeasesEnd) const
{
    const bool isKnown = m_hasAcceptedRequest && now < m_latestLeaseEnd;
    if (isKnown)
        return m_held.contains(slot) || m_unconfirmed.contains(slot);
    // A restarted target no longer knows the terms that it saw, so a silent target may have
    // accepted an earlier leader again.
    return now < earlierLeasesEnd;
}

bool target_session::holds(const slot_grant &grant) const
{
    const auto found = m_held.find(grant.slot);
    return found != m_held.end() && found->second == grant.epoch;
}

bool target_session::isAlive(instant now) const
{
    return m_hasAcceptedRequest && now - m_lastReply < m_settings.silenceLimit();
}

bool target_session::isRenewalDue(instant now) const
{
    return now - m_lastSend >= m_settings.heartbeatInterval;
}

} // namespace clementinebeam
