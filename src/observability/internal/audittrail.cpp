#include "internal/audittrail.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

void audit_trail::add(audit_entry entry)
{
    log_line(log_level::Info, "audit")
            .add("stream", entry.stream)
            .add("offset", entry.offset)
            .add("action", entry.action)
            .add("author", entry.author)
            .add("subject", entry.subject)
            .add("result", entry.result)
            .add("detail", entry.detail);
    const ordered_lock lock(m_mutex);
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > MAX_ENTRIES)
        m_entries.pop_front();
}

std::vector<audit_entry> audit_trail::newest(std::size_t limit) const
{
    const ordered_lock lock(m_mutex);
    const auto count = std::min(limit, m_entries.size());
    return {m_entries.end() - static_cast<std::ptrdiff_t>(count), m_entries.end()};
}

} // namespace clementinebeam
