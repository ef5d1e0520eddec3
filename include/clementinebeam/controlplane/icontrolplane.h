#pragma once

#include "clementinebeam/configuration/configurationreplay.h"
#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/kernel/result.h"
#include "clementinebeam/nativelog/nativelogtypes.h"
#include "clementinebeam/peering/peermessages.h"

#include <vector>

namespace clementinebeam {

/// What operators may see and change through an instance.
class i_control_plane
{
public:
    virtual ~i_control_plane() = default;

    /// Appends a patch and waits until it is read back.
    /// @param record the patch.
    /// @param timeout when to give up; the patch may still be accepted later.
    /// @return what became of it, or LogUnavailable.
    virtual result<patch_result> submitPatch(const patch_record &record,
                                             std::chrono::milliseconds timeout) = 0;

    /// @return what became of the newest patches, oldest first.
    virtual std::vector<patch_result> history() const = 0;

    /// @return all shards as this instance sees them.
    virtual std::vector<shard_status> shards() const = 0;

    /// @return this instance's stream positions and version.
    virtual state_reply position() const = 0;

    /// @return the newest instance list.
    virtual std::vector<listing> listings() const = 0;

    /// Takes an operator's word that no earlier leader of a shard is active any more.
    /// @return NotFound or NotLeader.
    virtual std::error_code confirmEarlierLeadersLost(const shard_id &shard) = 0;

    /// @return whether the streams were read to their end at least once.
    virtual bool isReady() const = 0;

    /// Adds service time that was measured on this instance.
    /// @param shard the shard.
    /// @param slot the slot.
    /// @param seconds service time, weighted by kind.
    virtual void addLoad(const shard_id &shard, slot_index slot, double seconds) = 0;
};

} // namespace clementinebeam
