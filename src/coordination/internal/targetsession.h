#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <algorithm>
#include <map>
#include <set>

namespace clementinebeam {

/// A leader's knowledge of one target: its lease, its slots, and whether it answers.
class target_session
{
public:
    target_session(target_id id, const coordination_settings &settings, instant now);

    /// Builds the next control message. At most one is outstanding at a time.
    /// @param request term, shard, holder, grants, revokes and prepares; the rest is filled in.
    /// @param now when the message is sent.
    void begin(control_request &request, instant now);

    /// @param sequence sequence of the message that was answered.
    /// @param term the current term.
    /// @param reply the target's answer.
    /// @param now when the answer arrived.
    /// @return false if the answer belongs to no outstanding message.
    bool complete(std::uint64_t sequence, term_number term, const control_reply &reply,
                  instant now);

    /// @param sequence sequence of the message that got no answer in time.
    void fail(std::uint64_t sequence);

    /// @param slot any slot.
    /// @param now the current time.
    /// @param fence when the leases of earlier leaders have surely lapsed.
    /// @return whether the target may still serve the slot.
    bool mayHold(slot_index slot, instant now, instant fence) const;

    /// @param grant a slot and epoch.
    /// @return whether the target confirmed that it holds the slot at this epoch.
    bool holds(const slot_grant &grant) const;

    /// @param slot any slot.
    /// @return whether the newest answer names the slot as warmed up.
    bool isPrepared(slot_index slot) const { return m_prepared.contains(slot); }

    bool isIdle() const { return m_outstanding == 0; }
    bool isContacted() const { return m_contacted; }
    bool isDraining() const { return m_draining; }
    bool isAlive(instant now) const;
    bool isDue(instant now) const;

    /// @param now the current time.
    /// @param pace shortest time between two messages.
    /// @return whether another message may be sent.
    bool isPaced(instant now, std::chrono::milliseconds pace) const
    {
        return now - m_lastSend >= pace;
    }

    instant lastReply() const { return m_lastReply; }
    const std::map<slot_index, epoch_number> &held() const { return m_held; }
    std::uint64_t sequence() const { return m_sequence; }

    /// @param floor sequences up to this one belong to an earlier holder of the term.
    void raiseSequence(std::uint64_t floor) { m_sequence = std::max(m_sequence, floor); }

private:
    target_id m_id;
    coordination_settings m_settings;
    bool m_contacted = false;
    bool m_draining = false;
    std::uint64_t m_nonce = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_outstanding = 0;
    instant m_lastSend{};
    instant m_lastReply;
    instant m_leaseBound{}; ///< The target's lease has surely lapsed after this time.
    std::map<slot_index, epoch_number> m_held;
    std::set<slot_index> m_unconfirmed; ///< Granted in messages that were not answered.
    std::set<slot_index> m_prepared;
};

} // namespace clementinebeam
