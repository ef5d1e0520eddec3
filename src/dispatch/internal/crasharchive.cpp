#include "clementinebeam/dispatch/crasharchive.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Times are left out, as they change a little with each conversion between clocks.
bool haveSameTargets(const std::vector<target_crash> &left, const std::vector<target_crash> &right)
{
    return std::is_permutation(
            left.begin(), left.end(), right.begin(), right.end(),
            [](const auto &first, const auto &second) { return first.target == second.target; });
}

bool isExpired(const std::vector<target_crash> &crashes, instant now)
{
    return now >= crashes.back().at + crash_history::QUARANTINE_DURATION;
}

} // namespace

void crash_archive::noteStored(const service_name &service, suspect_map stored)
{
    if (stored.empty())
        m_stored.erase(service);
    else
        m_stored[service] = std::move(stored);
}

void crash_archive::noteWrite(const service_name &service, instant now)
{
    m_writtenAt[service] = now;
}

bool crash_archive::isWriteDue(const service_name &service, const suspect_map &known,
                               instant now) const
{
    const auto writtenAt = m_writtenAt.find(service);
    if (writtenAt != m_writtenAt.end() && now < writtenAt->second + STORE_INTERVAL)
        return false;
    const auto found = m_stored.find(service);
    if (found == m_stored.end())
        return !known.empty();
    if (known.empty())
        return true;
    const auto &stored = found->second;
    const auto inForce = std::count_if(stored.begin(), stored.end(), [&](const auto &item) {
        return !isExpired(item.second, now);
    });
    const auto isStored = [&](const auto &item) {
        const auto match = stored.find(item.first);
        return match != stored.end() && !isExpired(match->second, now)
                && haveSameTargets(match->second, item.second);
    };
    return static_cast<std::size_t>(inForce) != known.size()
            || !std::all_of(known.begin(), known.end(), isStored);
}

} // namespace clementinebeam
