#pragma once

#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/observability/iaudittrail.h"

#include <deque>

namespace clementinebeam {

/// Keeps the newest changes in memory only; the log streams are the durable record.
class audit_trail : public i_audit_trail
{
public:
    void add(audit_entry entry) override;
    std::vector<audit_entry> newest(std::size_t limit) const override;

private:
    static constexpr std::size_t MAX_ENTRIES = 2000;

    mutable ordered_mutex m_mutex{lock_rank::AuditTable};
    std::deque<audit_entry> m_entries;
};

} // namespace clementinebeam
