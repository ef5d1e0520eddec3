#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/ownership/ownershiptypes.h"
#include "clementinebeam/targets/controltypes.h"

#include <functional>
#include <map>

namespace clementinebeam {

/// Tracks the grants of a target that does not check grants itself.
///
/// Owned by the shard's leader. Every request to such a target is admitted by the leader, so a slot
/// counts as released when no admitted request can still be running. Does no I/O.
class grant_proxy
{
public:
    using running_predicate = std::function<bool(slot_index)>;

    /// @param target the target.
    /// @param state the shard's state; the target is assumed to hold all slots of which it is the
    /// current or previous owner.
    /// @param permitLifetime longest time that an admitted idempotent request may run.
    /// @param now the current time.
    grant_proxy(const target_id &target, const shard_state &state,
                std::chrono::milliseconds permitLifetime, instant now);

    /// Records the admission of an idempotent request; its slot is not released while the permit
    /// lasts.
    /// @param slot its slot.
    /// @param now the current time.
    void notePermit(slot_index slot, instant now);

    /// Applies a control message.
    /// @param request the message.
    /// @param health the target's answer to probe().
    /// @param isRunning returns whether a request of the slot that the ledger records may be
    /// running.
    /// @param now the current time.
    /// @return the reply that a target that checks grants would send.
    control_reply apply(const control_request &request, const control_reply &health,
                        const running_predicate &isRunning, instant now);

private:
    std::chrono::milliseconds m_permitLifetime;
    instant m_createdAt;
    std::map<slot_index, epoch_number> m_held;
    std::map<slot_index, instant> m_permitEndTimes;
};

} // namespace clementinebeam
