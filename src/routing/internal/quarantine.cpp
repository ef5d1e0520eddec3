#include "internal/quarantine.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

bool quarantine::isQuarantined(const service_name &service, std::uint64_t fingerprint) const
{
    const ordered_lock lock(m_mutex);
    const auto found = m_records.find({service, fingerprint});
    if (found == m_records.end()
        || boot_clock::now() - found->second.lastCrash >= QUARANTINE_DURATION)
        return false;
    return found->second.crashes >= CRASH_LIMIT;
}

std::uint64_t quarantine::answeredKey(const service_name &service, std::uint64_t fingerprint)
{
    return hashOf(service, fingerprint) | 1; // 0 marks an empty entry.
}

void quarantine::noteAnswer(const service_name &service, std::uint64_t fingerprint)
{
    const auto key = answeredKey(service, fingerprint);
    const ordered_lock lock(m_mutex);
    m_answered[key / 2 % ANSWERED_TABLE_SIZE] = key;
    m_records.erase({service, fingerprint});
}

bool quarantine::noteCrash(const service_name &service, std::uint64_t fingerprint,
                           const target_id &target)
{
    const auto key = answeredKey(service, fingerprint);
    std::uint32_t crashes = 0;
    {
        const ordered_lock lock(m_mutex);
        if (m_answered[key / 2 % ANSWERED_TABLE_SIZE] == key)
            return false;
        evictOldestIfFull();
        const auto now = boot_clock::now();
        auto &item = m_records[{service, fingerprint}];
        if (now - item.lastCrash >= QUARANTINE_DURATION)
            item.crashes = 0;
        const bool isSame = item.crashes > 0 && item.lastTarget == target
                && now - item.lastCrash < SAME_CRASH_WINDOW;
        if (isSame)
            return true;
        item.lastCrash = now;
        item.lastTarget = target;
        crashes = ++item.crashes;
    }
    if (crashes == CRASH_LIMIT)
        log_line(log_level::Warning, "request_quarantined")
                .add("service", service)
                .add("fingerprint", fingerprint);
    return true;
}

void quarantine::evictOldestIfFull()
{
    if (m_records.size() < MAX_RECORDS)
        return;
    const auto oldest = std::min_element(m_records.begin(), m_records.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.lastCrash < right.second.lastCrash;
                                         });
    m_records.erase(oldest);
}

} // namespace clementinebeam
