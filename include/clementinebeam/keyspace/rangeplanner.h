#pragma once

#include "clementinebeam/keyspace/keyload.h"

namespace clementinebeam {

/// Decides which ranges should change their owner to balance the load.
///
/// When a few neighbouring hot keys get more requests than several targets can run, the narrowest
/// range that carries the excess is split off and given to the least loaded target, so that few
/// keys move. A key that saturates any target on its own is not moved; other keys are moved away
/// from its target instead. Wide ranges move only if the steady load is unbalanced. Also assigns
/// ranges without an owner, and gives new targets a share of the keys, also while there are no
/// requests.
class range_planner
{
public:
    /// Moves that a round of planning tries. In a large fleet, trying all targets would hold up the
    /// placement of requests.
    static constexpr std::size_t MAX_ATTEMPTS = 48;

    /// Plans moves that balance the load.
    /// @param holders targets that may own keys.
    /// @param ranges assignments in order of keys, possibly with gaps; those without a target are
    ///     ignored.
    /// @param moving ranges on the way to the given targets, which can't be moved now; their load
    ///     counts there.
    /// @param load request rates by key.
    /// @return moves of ranges that have an owner now.
    std::vector<range_move> rebalance(const std::vector<key_holder> &holders,
                                      const std::vector<range_assignment> &ranges,
                                      const std::vector<range_assignment> &moving,
                                      const key_load &load) const;

    /// Moves narrow idle ranges to the owner of the preceding range, so that they can be merged.
    /// Load spikes leave the key space fragmented, and each range needs renewals of its own.
    /// @param ranges assignments in order of keys.
    /// @param load request rates by key.
    /// @return moves of ranges that have an owner now.
    std::vector<range_move> consolidate(const std::vector<range_assignment> &ranges,
                                        const key_load &load) const;

    /// Assigns all ranges that have no owner, wide ones in several pieces.
    /// @param holders targets that may own keys.
    /// @param ranges assignments in order of keys; those without a target are to be assigned.
    /// @param load request rates by key.
    /// @return the new owners, as moves without a previous owner; empty if no target is available.
    std::vector<range_move> assignUnowned(const std::vector<key_holder> &holders,
                                          const std::vector<range_assignment> &ranges,
                                          const key_load &load) const;
};

} // namespace clementinebeam
