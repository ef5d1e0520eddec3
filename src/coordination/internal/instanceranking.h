#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <functional>
#include <vector>

namespace clementinebeam {

/// Ranks the instances for one shard by rendezvous hash, so that all instances agree on the order
/// in which they may claim the shard.
class instance_ranking
{
public:
    explicit instance_ranking(shard_id shard)
        : m_shard(std::move(shard))
    { }

    /// @param instances all listed instances.
    void setInstances(std::vector<instance_view> instances);

    /// @return all instances in the order of the ranking.
    const std::vector<instance_view> &all() const { return m_instances; }

    /// @param id an instance.
    /// @return the number of instances before it in the ranking that are not leaving.
    std::uint32_t rankOf(const instance_id &id) const;

    /// @param id an instance.
    /// @return the instance, or null if it is not listed.
    const instance_view *find(const instance_id &id) const;

    /// Picks the first candidate in the ranking as standby, in another data centre than the leader
    /// if possible.
    /// @param leader the leader.
    /// @param isCandidate returns whether an instance may be picked.
    /// @return the instance, or null if there is no candidate.
    const instance_view *
    pickStandby(const instance_id &leader,
                const std::function<bool(const instance_id &)> &isCandidate) const;

private:
    shard_id m_shard;
    std::vector<instance_view> m_instances;
};

} // namespace clementinebeam
