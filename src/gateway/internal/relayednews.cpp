#include "internal/relayednews.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Coordinators are asked while this much time is left. Instances look whether they have to twice a
/// second, and an answer's view may be 0.4 s old.
constexpr std::chrono::milliseconds ASK_AHEAD{600};

} // namespace

void relayed_news::noteAnswer(std::chrono::milliseconds targetAge,
                              std::chrono::milliseconds configurationAge, instant now)
{
    if (configurationAge <= MAX_CONFIGURATION_AGE)
        m_freshUntil = std::max(m_freshUntil, now - targetAge + MAX_NEWS_AGE);
}

bool relayed_news::isFresh(instant now) const
{
    return now < m_freshUntil;
}

bool relayed_news::isDue(instant now) const
{
    return now + ASK_AHEAD >= m_freshUntil;
}

} // namespace clementinebeam
