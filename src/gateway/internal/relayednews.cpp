#include "internal/relayednews.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Coordinators are asked while this much time is left. Instances look whether they have to twice a
/// second, and an answer's view may be 0.4 s old.
constexpr std::chrono::milliseconds ASK_AHEAD{600};

} // namespace

void relayed_news::noteAnswer(const service_name &service, std::chrono::milliseconds targetAge,
                              std::chrono::milliseconds configurationAge, instant now)
{
    if (configurationAge > MAX_CONFIGURATION_AGE)
        return;
    auto &until = m_freshUntil[service];
    until = std::max(until, now - targetAge + MAX_NEWS_AGE);
}

instant relayed_news::freshUntil() const
{
    instant latest{};
    for (const auto &[service, until] : m_freshUntil)
        latest = std::max(latest, until);
    return latest;
}

bool relayed_news::isFresh(instant now) const
{
    return now < freshUntil();
}

bool relayed_news::isDue(instant now) const
{
    return now + ASK_AHEAD >= freshUntil();
}

} // namespace clementinebeam
