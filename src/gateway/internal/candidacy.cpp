#include "internal/candidacy.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Share of a processor from which an instance counts as large. The placement traffic of a service
/// with 1,350 requests a second takes 0.06 on average and a multiple of that in bursts.
constexpr double LARGE_SHARE = 0.2;
/// Speed of a link from which it counts as fast, in Mbit/s. The datagrams of a service with 1,350
/// requests a second take 7 Mbit/s in each direction, and an ownership record of 70 KB, stored and
/// read back several times a second while keys move, about as much.
constexpr double FAST_LINK_MBPS = 50.0;
/// How long a coordinator must be missing, counted from the first report of it, before an instance
/// outside the group becomes a candidate. After a loss, the coordinator's membership lasts up to
/// 1.4 s; then a member of the group claims within half a second, so that a takeover takes up to
/// 1.9 s. Large instances outside the group may join it before that time is over, others only
/// afterwards: first those that lack only a fast link. A small instance that coordinates all
/// services answers neither other instances nor its own callers in time.
constexpr milliseconds LARGE_CANDIDACY_DELAY{1600};
constexpr milliseconds SLOW_LINK_CANDIDACY_DELAY{2000};
constexpr milliseconds SMALL_CANDIDACY_DELAY{2500};
/// A coordinator counts as missing for this long after the last report of it.
constexpr milliseconds MISSING_REPORT_LIFETIME{2000};
/// An instance stays a candidate for this time after the last reason for it, so that it does not
/// join and leave the group repeatedly.
constexpr milliseconds CANDIDACY_RETENTION{5000};

} // namespace

candidacy::candidacy(double processorShare, double linkMbps)
    : m_hasLargeShare(processorShare >= LARGE_SHARE)
    , m_isLarge(m_hasLargeShare && linkMbps >= FAST_LINK_MBPS)
{ }

void candidacy::noteMissing(const service_name &service, instant now)
{
    const auto [position, isNew] = m_missing.try_emplace(service, missing_period{now, now});
    auto &item = position->second;
    if (!isNew && now > item.lastReported + MISSING_REPORT_LIFETIME)
        item.since = now;
    item.lastReported = now;
}

bool candidacy::isMissing(const service_name &service, instant now) const
{
    const auto found = m_missing.find(service);
    return found != m_missing.end() && now <= found->second.lastReported + MISSING_REPORT_LIFETIME;
}

bool candidacy::isAnyMissingFor(milliseconds time, instant now) const
{
    return std::any_of(m_missing.begin(), m_missing.end(), [time, now](const auto &item) {
        const auto &period = item.second;
        return now <= period.lastReported + MISSING_REPORT_LIFETIME && now >= period.since + time;
    });
}

milliseconds candidacy::candidacyDelay() const
{
    if (m_isLarge)
        return LARGE_CANDIDACY_DELAY;
    return m_hasLargeShare ? SLOW_LINK_CANDIDACY_DELAY : SMALL_CANDIDACY_DELAY;
}

bool candidacy::shouldBeCandidate(bool isCoordinating, bool holdsPart, instant now)
{
    // A large instance starts as a candidate: at the start of the system no instance holds a part
    // yet, and all large instances form the group.
    const bool wasNeverCandidate = m_candidateUntil == instant{};
    const auto delay = candidacyDelay();
    const bool isMember = m_isLarge && (holdsPart || wasNeverCandidate);
    if (isMember || isCoordinating || isAnyMissingFor(delay, now))
        m_candidateUntil = now + CANDIDACY_RETENTION;
    return now < m_candidateUntil;
}

} // namespace clementinebeam
