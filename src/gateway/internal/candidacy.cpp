#include "internal/candidacy.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Share of a processor that carries the placement traffic of a service of 1,350 requests a second:
/// 0.06 on average and a multiple of it in bursts.
constexpr double STRONG_SHARE = 0.2;
/// A lost coordinator's membership lasts 1.4 s; then a member of the group claims within half a
/// second. Large instances outside the group come next, small ones last.
constexpr milliseconds STRONG_RESERVE_DELAY{1600};
constexpr milliseconds RESERVE_DELAY{2500};
/// An absence that nothing confirmed for this long is over.
constexpr milliseconds ABSENCE_MEMORY{2000};
/// Hysteresis: an instance that holds no part of the group any more goes on standing for this time.
constexpr milliseconds STANDING_TIME{5000};

} // namespace

candidacy::candidacy(double processorShare)
    : m_isStrong(processorShare >= STRONG_SHARE)
{ }

void candidacy::noteMissing(const service_name &service, instant now)
{
    const auto [place, isNew] = m_missing.try_emplace(service, absence{now, now});
    auto &item = place->second;
    if (!isNew && now > item.lastSeen + ABSENCE_MEMORY)
        item.since = now;
    item.lastSeen = now;
}

bool candidacy::isMissing(const service_name &service, instant now) const
{
    const auto found = m_missing.find(service);
    return found != m_missing.end() && now <= found->second.lastSeen + ABSENCE_MEMORY;
}

bool candidacy::isAnyMissingFor(milliseconds time, instant now) const
{
    return std::any_of(m_missing.begin(), m_missing.end(), [time, now](const auto &item) {
        const auto &absence = item.second;
        return now <= absence.lastSeen + ABSENCE_MEMORY && now >= absence.since + time;
    });
}

bool candidacy::shouldStand(bool isCoordinating, bool holdsPart, instant now)
{
    // The group of a system that starts is formed by all large instances.
    const bool isFirst = m_standsUntil == instant{};
    const auto delay = m_isStrong ? STRONG_RESERVE_DELAY : RESERVE_DELAY;
    const bool isMember = m_isStrong && (holdsPart || isFirst);
    if (isMember || isCoordinating || isAnyMissingFor(delay, now))
        m_standsUntil = now + STANDING_TIME;
    return now < m_standsUntil;
}

} // namespace clementinebeam
