#include "internal/relayedview.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Coordinators are queried this long before the view expires. Instances check twice a second
/// whether a query is due, so that at least 0.1 s is left for the answer. The view in an answer may
/// already be 0.4 s old; it then expires sooner.
constexpr std::chrono::milliseconds QUERY_LEAD_TIME{600};

} // namespace

void relayed_view::noteAnswer(std::chrono::milliseconds targetListAge,
                              std::chrono::milliseconds configurationAge, instant now)
{
    if (configurationAge <= MAX_CONFIGURATION_AGE)
        m_freshUntil = std::max(m_freshUntil, now - targetListAge + MAX_TARGET_LIST_AGE);
}

bool relayed_view::isFresh(instant now) const
{
    return now < m_freshUntil;
}

bool relayed_view::isQueryDue(instant now) const
{
    return now + QUERY_LEAD_TIME >= m_freshUntil;
}

} // namespace clementinebeam
