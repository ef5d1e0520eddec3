#pragma once

#include "clementinebeam/keyspace/keyload.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace clementinebeam {

/// Load added to each key, so that ranges without requests are spread evenly.
constexpr double BASE_LOAD = 1.0 / KEY_COUNT;

/// Load of one target while moves are planned.
struct holder_load {
    const key_holder *holder = nullptr;
    double recent = 0.0;  ///< Requests a second over about the last second.
    double steady = 0.0;  ///< Requests a second over about the last ten seconds.
    std::size_t keys = 0; ///< Keys that it owns.

    /// @return whether the load has risen so fast that only the recent rate tells it.
    bool isHot() const;
    double load() const { return isHot() ? recent : steady; }
    double capacity() const { return std::max(0.001, holder->capacity); }
    double utilisation() const { return load() / capacity(); }
    /// Unit in which the spare capacity of different targets is compared. Spare capacity in
    /// proportion to the square root of the capacity gives the shortest mean wait over all targets:
    /// fast ones are used more than slow ones.
    double spareUnit() const { return std::sqrt(capacity()); }
    /// Unused capacity, in units of spareUnit().
    double spare() const { return (capacity() - load()) / spareUnit(); }
    /// Load beyond that at which the target has the given spare capacity; negative if it has more.
    double excessOver(double balancedSpare) const
    {
        return load() - std::max(0.0, capacity() - balancedSpare * spareUnit());
    }
};

using load_table = std::map<target_id, holder_load>;

/// Keys next to one another, and their load.
struct window {
    key_range keys;
    double recent = 0.0;
    double steady = 0.0;
};

/// @return the load of a key, at least a base load that spreads keys without requests evenly.
double keyLoad(const key_load &load, key_number key, bool useRecentRate);

/// @return the load of some keys.
window measureWindow(const key_range &keys, const key_load &load);

/// Adds the load of ranges to that of their targets; those of unknown targets are left out.
void addLoads(load_table &table, const std::vector<range_assignment> &ranges, const key_load &load);

/// @return the load of all targets that stay.
load_table loadTableOf(const std::vector<key_holder> &holders,
                       const std::vector<range_assignment> &ranges, const key_load &load);

/// Moves the load of some keys from one target to another.
void transferLoad(holder_load &from, holder_load &to, const window &item);

} // namespace clementinebeam
