#include "leaseholder.h"

#include <algorithm>

namespace clementinebeam {

lease_holder::lease_holder(std::uint64_t incarnation, std::uint64_t firstNonce,
                           std::chrono::milliseconds warmUp)
    : m_incarnation(incarnation)
    , m_nextNonce(std::max<std::uint64_t>(1, firstNonce))
    , m_warmUp(warmUp)
{ }

bool lease_holder::expire(instant now)
{
    if (now < m_leaseUntil || m_held.empty())
        return false;
    m_held.clear();
    m_revoked.clear();
    return true;
}

control_reply lease_holder::apply(const control_request &request,
                                  const running_predicate &isRunning, instant now)
{
    expire(now);
    if (std::pair(request.term, request.sequence) <= std::pair(m_term, m_sequence))
        return makeReply(false, now);
    m_term = request.term;
    m_sequence = request.sequence;
    renew(request);
    if (now < m_leaseUntil)
        applyGrants(request);
    for (const auto slot : request.revokes) {
        if (m_held.contains(slot))
            m_revoked.insert(slot);
    }
    for (auto slot = m_revoked.begin(); slot != m_revoked.end();) {
        if (isRunning(*slot)) {
            ++slot;
            continue;
        }
        m_held.erase(*slot);
        slot = m_revoked.erase(slot);
    }
    for (const auto slot : request.prepares)
        m_preparedSince.try_emplace(slot, now);
    return makeReply(true, now);
}

void lease_holder::renew(const control_request &request)
{
    // The lease starts when this target issued the nonce, so a delayed renewal cannot extend it
    // beyond the expiry that the leader assumes.
    const auto issued = m_nonces.find(request.nonce);
    if (issued != m_nonces.end())
        m_leaseUntil = std::max(m_leaseUntil, issued->second + request.lease);
}

void lease_holder::applyGrants(const control_request &request)
{
    for (const auto &grant : request.grants) {
        auto &highest = m_highestEpoch[grant.slot];
        if (grant.epoch < highest)
            continue;
        highest = grant.epoch;
        m_held[grant.slot] = grant.epoch;
        m_revoked.erase(grant.slot);
    }
}

control_reply lease_holder::makeReply(bool accepted, instant now)
{
    control_reply reply;
    reply.accepted = accepted;
    reply.incarnation = m_incarnation;
    reply.term = m_term;
    reply.sequence = m_sequence;
    if (accepted) {
        reply.nonce = m_nextNonce++;
        m_nonces[reply.nonce] = now;
        if (m_nonces.size() > MAX_NONCES)
            m_nonces.erase(m_nonces.begin());
    }
    for (const auto &[slot, epoch] : m_held)
        reply.held.push_back({slot, epoch});
    for (const auto &[slot, since] : m_preparedSince) {
        if (wasPrepared(slot, now))
            reply.prepared.push_back(slot);
    }
    return reply;
}

bool lease_holder::wasPrepared(slot_index slot, instant now) const
{
    const auto since = m_preparedSince.find(slot);
    return since != m_preparedSince.end() && now - since->second >= m_warmUp;
}

error_kind lease_holder::check(slot_index slot, epoch_number epoch, term_number term,
                               bool isAdmitted, instant now)
{
    expire(now);
    const auto held = m_held.find(slot);
    const bool isOwner = held != m_held.end() && held->second == epoch && now < m_leaseUntil;
    const bool isOutdated = term != 0 && term < m_term;
    if (!isOwner || (!isAdmitted && (isOutdated || m_revoked.contains(slot))))
        return error_kind::WrongEpoch;
    return error_kind::None;
}

} // namespace clementinebeam
