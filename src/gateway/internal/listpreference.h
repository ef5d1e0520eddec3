#pragma once

#include <chrono>

namespace clementinebeam {

/// What an instance knows of the quality of a list of targets.
struct list_quality {
    std::chrono::milliseconds age{0}; ///< Since it was last known to be up to date.
    bool hasDeferredRemovals = false; ///< It keeps targets whose entries were removed.
    bool isStoreReachable = true;     ///< The last read of it succeeded.
    bool wasOutdated = false;         ///< It was seen to be outdated a short time ago.
};

/// Largest age of the own list up to which it may count more than a newer one, and by which
/// requests are placed locally. It is well below the targets' drain time.
constexpr std::chrono::milliseconds MAX_OWN_LIST_AGE{1200};

/// @return whether a coordinator keeps targets that have left, as it was disconnected from the
///     store: this instance then needs its own list. One that was disconnected as well can't tell.
bool mayListGoneTargets(const list_quality &own, const list_quality &coordinators);

/// @return whether this instance's list of targets counts more than the coordinator's.
bool isOwnListPreferred(const list_quality &own, const list_quality &coordinators);

} // namespace clementinebeam
