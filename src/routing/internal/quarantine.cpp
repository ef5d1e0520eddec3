#include "internal/quarantine.h"

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/observability/logline.h"

namespace clementinebeam {

bool quarantine::isQuarantined(const service_name &service, std::uint64_t fingerprint) const
{
    const ordered_lock lock(m_mutex);
    return m_history.isQuarantined({service, fingerprint}, boot_clock::now());
}

void quarantine::noteAnswer(const service_name &service, std::uint64_t fingerprint)
{
    const ordered_lock lock(m_mutex);
    m_history.noteAnswer({service, fingerprint});
}

bool quarantine::noteCrash(const service_name &service, std::uint64_t fingerprint,
                           const target_id &target)
{
    auto verdict = crash_history::verdict::Unsuspected;
    {
        const ordered_lock lock(m_mutex);
        verdict = m_history.noteCrash({service, fingerprint}, {target, boot_clock::now()});
    }
    if (verdict == crash_history::verdict::Quarantined)
        log_line(log_level::Warning, "request_quarantined")
                .add("service", service)
                .add("fingerprint", fingerprint);
    return verdict != crash_history::verdict::Unsuspected;
}

std::vector<crash_record> quarantine::records() const
{
    const auto clocks = readClocks();
    std::vector<crash_record> records;
    const ordered_lock lock(m_mutex);
    for (const auto &service : m_history.services()) {
        const auto suspects =
                m_history.suspectsOf(service, clocks.now, crash_archive::MAX_SUSPECTS);
        if (!suspects.empty())
            records.push_back(recordOf(service, suspects, clocks));
    }
    return records;
}

void quarantine::restore(const std::vector<crash_record> &records)
{
    const auto clocks = readClocks();
    const ordered_lock lock(m_mutex);
    for (const auto &record : records) {
        if (!isConsistent(record))
            continue;
        for (const auto &[fingerprint, crashes] : suspectsOf(record, clocks))
            m_history.restore({record.service, fingerprint}, crashes, clocks.now);
    }
}

} // namespace clementinebeam
