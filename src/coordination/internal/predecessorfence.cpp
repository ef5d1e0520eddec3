#include "internal/predecessorfence.h"

#include <algorithm>

namespace clementinebeam {

void predecessor_fence::begin(const incarnation_id &self, bool isContinuation,
                              const std::vector<earlier_leadership> &earlier, instant now)
{
    m_begin = now;
    m_entries.clear();
    const auto lease = m_settings.withMargin(m_settings.lease);
    const auto isolationEnd = now + m_settings.withMargin(m_settings.isolationLimit) + lease;
    for (const auto &leadership : earlier) {
        const bool isOwn = leadership.leader == self;
        if (isOwn && isContinuation)
            continue;
        entry item{leadership, leadership.bounded ? isolationEnd : instant::max()};
        if (isOwn)
            item.end = now + lease;
        for (const auto &[from, statement] : m_statements)
            apply(item, from, statement);
        const auto heard = m_heard.find(leadership.leader);
        if (heard != m_heard.end())
            apply(item, heard->first, heard->second);
        m_entries.push_back(item);
    }
}

void predecessor_fence::noteLeader(const incarnation_id &leader, term_number term, instant now)
{
    note(m_heard, leader, term, now);
}

void predecessor_fence::note(inactivity_table &table, const incarnation_id &process,
                             term_number term, instant now)
{
    auto &known = table[process];
    if (term > known.term)
        known = {term, now};
}

void predecessor_fence::beginAfterHandover(instant now)
{
    m_begin = std::max(m_begin, now + m_settings.withMargin(m_settings.lease));
}

void predecessor_fence::addStatement(const incarnation_id &from, term_number term, instant now)
{
    note(m_statements, from, term, now);
    for (auto &item : m_entries)
        apply(item, from, {term, now});
}

void predecessor_fence::apply(entry &item, const incarnation_id &from,
                              const inactivity &statement) const
{
    if (item.leadership.term >= statement.term)
        return;
    const auto lease = m_settings.withMargin(m_settings.lease);
    if (from == item.leadership.leader) {
        item.end = std::min(item.end, statement.since + lease);
        item.leaderStated = true;
        return;
    }
    const bool isOfPair = from.instance == item.leadership.leader.instance
            || from.instance == item.leadership.standby.instance;
    if (isOfPair) {
        const auto isolation = m_settings.withMargin(m_settings.isolationLimit);
        item.end = std::min(item.end, statement.since + isolation + lease);
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
