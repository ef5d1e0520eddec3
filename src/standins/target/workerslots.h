#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <condition_variable>
#include <mutex>

namespace clementinebeam {

/// A target's places for running requests, with a short bounded queue before them.
class worker_slots
{
public:
    worker_slots(std::size_t slots, std::size_t maxQueue)
        : m_free(slots)
        , m_maxQueue(maxQueue)
    { }

    enum class entry {
        Admitted,
        Shed,
        Late,
    };

    /// Waits for a place; release() has to follow if it was admitted.
    entry enter(instant deadline);
    void release();

    std::size_t running() const;
    std::size_t queued() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::size_t m_free;
    std::size_t m_maxQueue;
    std::size_t m_running = 0;
    std::size_t m_queued = 0;
};

} // namespace clementinebeam
