#pragma once

#include "clementinebeam/keyspace/keyload.h"

namespace clementinebeam {

/// Decides which ranges should change their owner to even out the load.
///
/// Answers hot keys: when few neighbouring keys bring several targets' worth of requests, the
/// narrowest range that carries the excess is split off and given to the least loaded target, so
/// that few keys move. A key that fills any target alone stays where it is, and other keys leave
/// its target. Wide ranges move only if the steady load is uneven. Places ranges without an owner
/// and gives new targets a share.
class range_planner
{
public:
    /// Moves that one round may have in any case; with more targets, one for each.
    static constexpr std::size_t MIN_MOVES = 8;

    /// @param holders targets that may own keys.
    /// @param ranges assignments in order of keys; those without a target are to be placed.
    /// @param load request rates by key.
    /// @return moves of ranges that have an owner now.
    std::vector<range_move> rebalance(const std::vector<key_holder> &holders,
                                      const std::vector<range_assignment> &ranges,
                                      const key_load &load) const;

    /// Gives narrow ranges that are idle again to the owner of their neighbour, as each range costs
    /// renewals. Answers the end of hot spells, which leave the key space in pieces.
    /// @param ranges assignments in order of keys.
    /// @param load request rates by key.
    /// @return moves of ranges that have an owner now.
    std::vector<range_move> consolidate(const std::vector<range_assignment> &ranges,
                                        const key_load &load) const;

    /// @param holders targets that may own keys.
    /// @param ranges assignments in order of keys.
    /// @param load request rates by key.
    /// @return owners for all ranges that have none, in pieces if they are wide.
    std::vector<range_move> placeUnowned(const std::vector<key_holder> &holders,
                                         const std::vector<range_assignment> &ranges,
                                         const key_load &load) const;
};

} // namespace clementinebeam
