#pragma once

#include "cluster.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace clementinebeam::test {

/// Callers that send reads and orders through all instances until they are stopped, and resend an
/// order whose outcome they do not know.
class callers
{
public:
    /// @param system the system.
    /// @param instances instances that requests are spread over.
    /// @param threads number of callers.
    callers(const cluster &system, std::vector<std::size_t> instances, std::size_t threads);
    ~callers();
    callers(const callers &) = delete;
    callers &operator=(const callers &) = delete;

    /// Stops all callers.
    /// @param events receives all calls.
    void stop(history::history &events);

    /// Waits until this many more requests were answered.
    /// @return false if they were not within the limit.
    bool waitAnswered(std::size_t count,
                      std::chrono::milliseconds limit = std::chrono::milliseconds(20000));

private:
    void run(std::size_t thread);
    history::call send(std::size_t instance, const history::call &request, bool isFirst);

    const cluster &m_system;
    std::vector<std::size_t> m_instances;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_answered{0};
    std::mutex m_mutex;
    std::vector<history::call> m_calls;
    std::vector<std::thread> m_threads;
};

} // namespace clementinebeam::test
