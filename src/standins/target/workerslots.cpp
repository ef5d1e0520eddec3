#include "workerslots.h"

namespace clementinebeam {

worker_slots::admission worker_slots::acquire(instant deadline)
{
    std::unique_lock lock(m_mutex);
    if (m_free == 0 && m_queued >= m_maxQueue)
        return admission::QueueFull;
    ++m_queued;
    const bool isFree =
            m_slotFreed.wait_for(lock, deadline - boot_clock::now(), [this] { return m_free > 0; });
    --m_queued;
    if (!isFree)
        return admission::TimedOut;
    --m_free;
    ++m_running;
    return admission::Admitted;
}

void worker_slots::release()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_free;
        --m_running;
    }
    m_slotFreed.notify_one();
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
