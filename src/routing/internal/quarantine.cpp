#include "internal/quarantine.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

bool quarantine::isQuarantined(const service_name &service, std::uint64_t fingerprint) const
{
    const ordered_lock lock(m_mutex);
    const auto found = m_records.find({service, fingerprint});
    if (found == m_records.end() || boot_clock::now() - found->second.lastCrash >= MEMORY)
        return false;
    return found->second.crashes >= CRASH_LIMIT;
}

void quarantine::noteCrash(const service_name &service, std::uint64_t fingerprint)
{
    std::uint32_t crashes = 0;
    {
        const ordered_lock lock(m_mutex);
        makeRoom();
        auto &item = m_records[{service, fingerprint}];
        if (boot_clock::now() - item.lastCrash >= MEMORY)
            item.crashes = 0;
        item.lastCrash = boot_clock::now();
        crashes = ++item.crashes;
    }
    if (crashes == CRASH_LIMIT)
        log_line(log_level::Warning, "request_quarantined")
                .add("service", service)
                .add("fingerprint", fingerprint);
}

void quarantine::makeRoom()
{
    if (m_records.size() < MAX_ENTRIES)
        return;
    const auto oldest = std::min_element(m_records.begin(), m_records.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.lastCrash < right.second.lastCrash;
                                         });
    m_records.erase(oldest);
}

} // namespace clementinebeam
