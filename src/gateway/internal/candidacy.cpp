#include "internal/candidacy.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Share of a processor from which an instance counts as large. The placement traffic of a service
/// with 1,350 requests a second takes 0.06 on average and a multiple of that in bursts.
constexpr double LARGE_SHARE = 0.2;
/// How long a coordinator must be missing before an instance outside the group becomes a candidate.
/// A lost coordinator's membership lasts 1.4 s; then a member of the group claims within half a
/// second. Large instances outside the group come next, small ones last.
constexpr milliseconds LARGE_CANDIDACY_DELAY{1600};
constexpr milliseconds SMALL_CANDIDACY_DELAY{2500};
/// A coordinator counts as missing for this long after the last report of it.
constexpr milliseconds MISSING_REPORT_LIFETIME{2000};
/// An instance stays a candidate for this time after the last reason for it, so that it does not
/// join and leave the group repeatedly.
constexpr milliseconds MIN_CANDIDACY_TIME{5000};

} // namespace

candidacy::candidacy(double processorShare)
    : m_isLarge(processorShare >= LARGE_SHARE)
{ }

void candidacy::noteMissing(const service_name &service, instant now)
{
    const auto [place, isNew] = m_missing.try_emplace(service, missing_period{now, now});
    auto &item = place->second;
    if (!isNew && now > item.lastSeen + MISSING_REPORT_LIFETIME)
        item.since = now;
    item.lastSeen = now;
}

bool candidacy::isMissing(const service_name &service, instant now) const
{
    const auto found = m_missing.find(service);
    return found != m_missing.end() && now <= found->second.lastSeen + MISSING_REPORT_LIFETIME;
}

bool candidacy::isAnyMissingFor(milliseconds time, instant now) const
{
    return std::any_of(m_missing.begin(), m_missing.end(), [time, now](const auto &item) {
        const auto &period = item.second;
        return now <= period.lastSeen + MISSING_REPORT_LIFETIME && now >= period.since + time;
    });
}

bool candidacy::shouldBeCandidate(bool isCoordinating, bool holdsPart, instant now)
{
    // At the start of the system no instance holds a part yet: all large instances form the group.
    const bool isFirst = m_candidateUntil == instant{};
    const auto delay = m_isLarge ? LARGE_CANDIDACY_DELAY : SMALL_CANDIDACY_DELAY;
    const bool isMember = m_isLarge && (holdsPart || isFirst);
    if (isMember || isCoordinating || isAnyMissingFor(delay, now))
        m_candidateUntil = now + MIN_CANDIDACY_TIME;
    return now < m_candidateUntil;
}

} // namespace clementinebeam
