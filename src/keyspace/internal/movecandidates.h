#pragma once

#include "internal/holderload.h"

#include <optional>

namespace clementinebeam {

/// Picks keys to move from the edges of a target's ranges: of the parts with most load up to the
/// given one, that with the fewest keys. Cutting at edges keeps the number of ranges low, and
/// unlike the busiest keys of a short observation their load is not overestimated.
/// @param movesIdleKeys whether idle keys next to the busy ones move as well.
std::optional<window> keysToMove(const holder_load &source, double amount, bool movesIdleKeys,
                                 const std::vector<range_assignment> &ranges, const key_load &load);

/// @return the key of a target that takes most of its capacity by itself, if there is one.
std::optional<key_number> saturatingKey(const holder_load &item,
                                        const std::vector<range_assignment> &ranges,
                                        const key_load &load);

} // namespace clementinebeam
