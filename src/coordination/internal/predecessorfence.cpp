#include "internal/predecessorfence.h"

#include <algorithm>

namespace clementinebeam {

void predecessor_fence::begin(const incarnation_id &self, bool isContinuation,
                              const std::vector<earlier_leadership> &earlier, instant now)
{
    m_minEnd = now;
    m_entries.clear();
    const auto lease = m_settings.withClockMargin(m_settings.lease);
    const auto isolationEnd = now + m_settings.withClockMargin(m_settings.isolationLimit) + lease;
    for (const auto &leadership : earlier) {
        const bool isOwn = leadership.leader == self;
        if (isOwn && isContinuation)
            continue;
        entry item{leadership, leadership.standbyTookOver ? isolationEnd : instant::max()};
        if (isOwn)
            item.end = now + lease;
        for (const auto &[from, statement] : m_statements)
            applyStatement(item, from, statement);
        const auto heard = m_heardLeaders.find(leadership.leader);
        if (heard != m_heardLeaders.end())
            applyStatement(item, heard->first, heard->second);
        m_entries.push_back(item);
    }
}

void predecessor_fence::noteHeardLeader(const incarnation_id &leader, term_number term, instant now)
{
    noteInactivity(m_heardLeaders, leader, term, now);
}

void predecessor_fence::noteInactivity(inactivity_table &table, const incarnation_id &process,
                                       term_number term, instant now)
{
    auto &known = table[process];
    if (term > known.term)
        known = {term, now};
}

void predecessor_fence::extendByOneLease(instant now)
{
    m_minEnd = std::max(m_minEnd, now + m_settings.withClockMargin(m_settings.lease));
}

void predecessor_fence::addStatement(const incarnation_id &from, term_number term, instant now)
{
    noteInactivity(m_statements, from, term, now);
    for (auto &item : m_entries)
        applyStatement(item, from, {term, now});
}

void predecessor_fence::applyStatement(entry &item, const incarnation_id &from,
                                       const inactivity &statement) const
{
    if (item.leadership.term >= statement.term)
        return;
    const auto lease = m_settings.withClockMargin(m_settings.lease);
    if (from == item.leadership.leader) {
        item.end = std::min(item.end, statement.since + lease);
        item.hasLeaderStatement = true;
        return;
    }
    const bool isPairMember = from.instance == item.leadership.leader.instance
            || from.instance == item.leadership.standby.instance;
    if (isPairMember) {
        const auto isolation = m_settings.withClockMargin(m_settings.isolationLimit);
        item.end = std::min(item.end, statement.since + isolation + lease);
    }
}

std::vector<instance_id> predecessor_fence::instancesToQuery() const
{
    std::vector<instance_id> instances;
    for (const auto &item : m_entries) {
        if (item.hasLeaderStatement)
            continue;
        instances.push_back(item.leadership.leader.instance);
        if (item.end == instant::max() && !item.leadership.standby.empty())
            instances.push_back(item.leadership.standby.instance);
    }
    return instances;
}

instant predecessor_fence::earlierLeasesEnd() const
{
    instant latest = m_minEnd;
    for (const auto &item : m_entries)
        latest = std::max(latest, item.end);
    return latest;
}

} // namespace clementinebeam
