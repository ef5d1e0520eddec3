#include "internal/predecessorfence.h"

#include <algorithm>

namespace clementinebeam {

void predecessor_fence::begin(const std::vector<earlier_leadership> &earlier, instant now)
{
    m_begin = now;
    m_entries.clear();
    const auto isolationEnd = now + m_settings.withMargin(m_settings.isolationLimit)
            + m_settings.withMargin(m_settings.lease);
    for (const auto &leadership : earlier) {
        entry item{leadership, leadership.bounded ? isolationEnd : instant::max()};
        for (const auto &[from, at] : m_statements)
            applyStatement(item, from, at);
        m_entries.push_back(item);
    }
}

void predecessor_fence::beginAfterHandover(instant now)
{
    m_begin = std::max(m_begin, now + m_settings.withMargin(m_settings.lease));
}

void predecessor_fence::addStatement(const incarnation_id &from, instant now)
{
    m_statements.try_emplace(from, now);
    for (auto &item : m_entries)
        applyStatement(item, from, now);
}

void predecessor_fence::applyStatement(entry &item, const incarnation_id &from, instant at) const
{
    if (from == item.leadership.leader) {
        item.end = std::min(item.end, at + m_settings.withMargin(m_settings.lease));
        item.leaderStated = true;
    } else if (from == item.leadership.standby) {
        item.end = std::min(item.end, at + m_settings.withMargin(m_settings.isolationLimit)
                                    + m_settings.withMargin(m_settings.lease));
    }
}

std::vector<instance_id> predecessor_fence::pending() const
{
    std::vector<instance_id> instances;
    for (const auto &item : m_entries) {
        if (item.leaderStated)
            continue;
        instances.push_back(item.leadership.leader.instance);
        if (item.end == instant::max() && !item.leadership.standby.empty())
            instances.push_back(item.leadership.standby.instance);
    }
    return instances;
}

instant predecessor_fence::until() const
{
    instant latest = m_begin;
    for (const auto &item : m_entries)
        latest = std::max(latest, item.end);
    return latest;
}

} // namespace clementinebeam
