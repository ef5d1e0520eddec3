#include "internal/relayedview.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Coordinators are queried this long before the view expires. Instances check twice a second
/// whether a query is due, and the view in an answer may be 0.4 s old.
constexpr std::chrono::milliseconds QUERY_LEAD_TIME{600};

} // namespace

void relayed_view::noteAnswer(std::chrono::milliseconds targetAge,
                              std::chrono::milliseconds configurationAge, instant now)
{
    if (configurationAge <= MAX_CONFIGURATION_AGE)
        m_freshUntil = std::max(m_freshUntil, now - targetAge + MAX_RELAYED_AGE);
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
