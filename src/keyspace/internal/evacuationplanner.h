#pragma once

#include "clementinebeam/keyspace/keyload.h"

namespace clementinebeam {

/// Time between two rounds of releases from evacuated targets.
constexpr std::chrono::milliseconds EVACUATION_INTERVAL{100};

/// Plans the moves of keys away from evacuated targets, those with most load first.
///
/// The moves are spread evenly over the time that is left, so that few keys at a time are without
/// an owner. Each target that stays gets keys only up to the load that it has once all of them are
/// moved, so that none has to give keys away again.
/// @param holders all targets; those that own keys and have evacuateBy set are evacuated.
/// @param available the targets that may get keys.
/// @param settled assignments in order of keys, possibly with gaps, that can be moved now.
/// @param moving ranges on the way to the given targets.
/// @param load request rates by key.
/// @return the moves to begin now.
std::vector<range_move> planEvacuation(const std::vector<key_holder> &holders,
                                       const std::vector<key_holder> &available,
                                       const std::vector<range_assignment> &settled,
                                       const std::vector<range_assignment> &moving,
                                       const key_load &load, instant now);

} // namespace clementinebeam
