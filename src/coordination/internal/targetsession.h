#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <algorithm>
#include <map>
#include <set>

namespace clementinebeam {

/// A leader's session with one target: the target's lease, its slots and whether it answers.
class target_session
{
public:
    target_session(target_id id, const coordination_settings &settings, instant now);

    /// Fills in sequence, nonce and lease and marks the request as outstanding. At most one is
    /// outstanding at a time.
    /// @param request has term, shard, holder, grants, revokes and prepares; receives sequence,
    /// nonce and lease.
    /// @param now when the request is sent.
    void beginRequest(control_request &request, instant now);

    /// Handles the reply to a control request.
    /// @param sequence sequence of the request that was answered.
    /// @param term the current term.
    /// @param reply the target's reply.
    /// @param now when the reply arrived.
    /// @return false if the reply does not belong to the outstanding request.
    bool completeRequest(std::uint64_t sequence, term_number term, const control_reply &reply,
                         instant now);

    /// @param sequence sequence of the request that failed or timed out.
    void failRequest(std::uint64_t sequence);

    /// @param slot a slot index.
    /// @param now the current time.
    /// @param earlierLeasesEnd when all leases granted by earlier leaders have expired.
    /// @return whether the target may still serve the slot.
    bool mayHold(slot_index slot, instant now, instant earlierLeasesEnd) const;

    /// @param grant a slot and epoch.
    /// @return whether the target's last reply names the slot as held at this epoch.
    bool holds(const slot_grant &grant) const;

    /// @param slot a slot index.
    /// @return whether the target's last reply names the slot as prepared.
    bool isPrepared(slot_index slot) const { return m_prepared.contains(slot); }

    /// @return whether no request is outstanding.
    bool isIdle() const { return m_outstandingSequence == 0; }
    /// @return whether the target has accepted a request of this leader.
    bool hasAcceptedRequest() const { return m_hasAcceptedRequest; }
    bool isDraining() const { return m_draining; }
    /// @return whether the target has accepted a request and its last reply, see lastReply(), is
    /// within the silence limit.
    bool isAlive(instant now) const;
    /// @return whether the lease should be renewed, one heartbeat interval after the last request.
    bool isRenewalDue(instant now) const;

    /// @param now the current time.
    /// @param minInterval minimum time between two requests.
    /// @return whether another request may be sent.
    bool isSendAllowed(instant now, std::chrono::milliseconds minInterval) const
    {
        return now - m_lastSend >= minInterval;
    }

    /// @return when the last accepted reply of a reachable target arrived; the start of the session
    /// before the first one.
    instant lastReply() const { return m_lastReply; }
    const std::map<slot_index, epoch_number> &held() const { return m_held; }
    std::uint64_t sequence() const { return m_sequence; }

    /// @param floor highest sequence that the target may have seen in this term.
    void raiseSequence(std::uint64_t floor) { m_sequence = std::max(m_sequence, floor); }

private:
    target_id m_id;
    coordination_settings m_settings;
    bool m_hasAcceptedRequest = false;
    bool m_draining = false;
    std::uint64_t m_nonce = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_outstandingSequence = 0;
    instant m_lastSend{};
    instant m_lastReply;
    instant m_latestLeaseEnd{}; ///< The target's lease has expired by this time.
    std::map<slot_index, epoch_number> m_held;
    std::set<slot_index> m_unconfirmed; ///< Granted in requests without an accepted reply.
    std::set<slot_index> m_prepared;
};

} // namespace clementinebeam
