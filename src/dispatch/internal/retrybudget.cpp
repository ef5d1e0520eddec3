#include "clementinebeam/dispatch/retrybudget.h"

#include <algorithm>

namespace clementinebeam {

void retry_budget::deposit()
{
    const std::lock_guard lock(m_mutex);
    m_balance = std::min(m_capacity, m_balance + m_share);
}

bool retry_budget::withdraw()
{
    const std::lock_guard lock(m_mutex);
    if (m_balance < 1.0)
        return false;
    m_balance -= 1.0;
    return true;
}

} // namespace clementinebeam
