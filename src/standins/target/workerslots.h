#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <condition_variable>
#include <mutex>

namespace clementinebeam {

/// Limits the number of requests that run at a time, with a bounded queue of waiting ones.
/// Thread-safe.
class worker_slots
{
public:
    /// @param slots maximum number of running requests.
    /// @param maxQueue maximum number of waiting requests.
    worker_slots(std::size_t slots, std::size_t maxQueue)
        : m_free(slots)
        , m_maxQueue(maxQueue)
    { }

    enum class admission {
        Admitted,
        QueueFull, ///< All worker slots are taken and the queue is full.
        TimedOut,  ///< No worker slot became free before the deadline.
    };

    /// Waits for a free worker slot until the deadline. If the result is Admitted, the caller has
    /// to call release() when the request has ended.
    admission acquire(instant deadline);
    void release();

    /// @return the number of requests that hold a worker slot.
    std::size_t running() const;
    /// @return the number of requests that wait for a worker slot.
    std::size_t queued() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::size_t m_free;
    std::size_t m_maxQueue;
    std::size_t m_running = 0;
    std::size_t m_queued = 0;
};

} // namespace clementinebeam
