#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/ownership/ownershiptypes.h"
#include "clementinebeam/targets/controltypes.h"

#include <functional>
#include <map>

namespace clementinebeam {

/// Holds grants in place of a target that does not check them.
///
/// Lives with the shard's leader. Every request to such a target is admitted by the leader, so a
/// slot counts as released when no admitted request can still be running. Sans-I/O.
class grant_proxy
{
public:
    using running_predicate = std::function<bool(slot_index)>;

    /// @param target the target.
    /// @param state the shard's state; the target is taken to hold all slots that it may have held.
    /// @param permitLife longest deadline of an admitted idempotent request.
    /// @param now the current time.
    grant_proxy(const target_id &target, const shard_state &state,
                std::chrono::milliseconds permitLife, instant now);

    /// Notes that an idempotent request was admitted.
    /// @param slot its slot.
    /// @param now the current time.
    void notePermit(slot_index slot, instant now);

    /// Carries out a control message.
    /// @param request the message.
    /// @param health what the target's health endpoint said.
    /// @param isRunning tells whether a recorded request of a slot may still be running.
    /// @param now the current time.
    /// @return the answer that a checking target would give.
    control_reply apply(const control_request &request, const control_reply &health,
                        const running_predicate &isRunning, instant now);

private:
    std::chrono::milliseconds m_permitLife;
    instant m_createdAt;
    std::map<slot_index, epoch_number> m_held;
    std::map<slot_index, instant> m_permitEnd;
};

} // namespace clementinebeam
