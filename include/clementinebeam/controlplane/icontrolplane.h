#pragma once

#include "clementinebeam/configuration/configurationreplay.h"
#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/kernel/result.h"
#include "clementinebeam/nativelog/nativelogtypes.h"
#include "clementinebeam/peering/peermessages.h"

#include <vector>

namespace clementinebeam {

/// The control plane of this instance, as used by the operators' API and the request router.
class i_control_plane
{
public:
    virtual ~i_control_plane() = default;

    /// Appends a configuration patch to the log and blocks until it is read back.
    /// @param record the patch.
    /// @param timeout how long to wait; the patch may still be accepted later.
    /// @return the result of the patch, or LogUnavailable after the timeout.
    virtual result<patch_result> submitPatch(const patch_record &record,
                                             std::chrono::milliseconds timeout) = 0;

    /// @return the results of the newest patches, oldest first.
    virtual std::vector<patch_result> history() const = 0;

    /// @return the status of all shards, as known to this instance.
    virtual std::vector<shard_status> shards() const = 0;

    /// @return this instance's stream positions and configuration version, without shard states.
    virtual state_reply position() const = 0;

    /// @return the newest list of instances and targets; empty before it was first fetched.
    virtual std::vector<listing> listings() const = 0;

    /// Accepts an operator's confirmation that no earlier leader of a shard is active any more.
    /// @param shard the shard.
    /// @return no error, NotFound, or NotLeader if this instance does not lead the shard.
    virtual std::error_code confirmEarlierLeadersLost(const shard_id &shard) = 0;

    /// @return whether this instance has a usable state of both streams, read from the log or taken
    /// over from a peer; stays true from then on.
    virtual bool isReady() const = 0;

    /// Adds service time that was measured on this instance.
    /// @param shard the shard.
    /// @param slot the slot.
    /// @param seconds service time, multiplied by the weight of the request kind.
    virtual void addLoad(const shard_id &shard, slot_index slot, double seconds) = 0;
};

} // namespace clementinebeam
