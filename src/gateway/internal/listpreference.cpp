#include "internal/listpreference.h"

namespace clementinebeam {

bool mayListGoneTargets(const list_quality &own, const list_quality &coordinators)
{
    return coordinators.hasDeferredRemovals && !own.hasDeferredRemovals;
}

bool isOwnListPreferred(const list_quality &own, const list_quality &coordinators)
{
    if (own.age < coordinators.age)
        return true;
    const bool isReturning = coordinators.wasOutdated || mayListGoneTargets(own, coordinators);
    return isReturning && own.isStoreReachable && own.age <= MAX_OWN_LIST_AGE;
}

} // namespace clementinebeam
