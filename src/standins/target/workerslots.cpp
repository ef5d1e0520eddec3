#include "workerslots.h"

namespace clementinebeam {

worker_slots::entry worker_slots::enter(instant deadline)
{
    std::unique_lock lock(m_mutex);
    if (m_free == 0 && m_queued >= m_maxQueue)
        return entry::Shed;
    ++m_queued;
    const bool got =
            m_wake.wait_for(lock, deadline - boot_clock::now(), [this] { return m_free > 0; });
    --m_queued;
    if (!got)
        return entry::Late;
    --m_free;
    ++m_running;
    return entry::Admitted;
}

void worker_slots::release()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_free;
        --m_running;
    }
    m_wake.notify_one();
}

std::size_t worker_slots::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

std::size_t worker_slots::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_queued;
}

} // namespace clementinebeam
