#pragma once

#include "cluster.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace clementinebeam::test {

/// Threads that send reads and orders through the given instances until they are stopped, and
/// resend an order that was not answered.
class caller_load
{
public:
    /// @param system the system under test; has to outlive this object.
    /// @param instances numbers of the instances that receive the requests, chosen at random.
    /// @param threads number of concurrent callers.
    caller_load(const cluster &system, std::vector<std::size_t> instances, std::size_t threads);
    ~caller_load();
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;

    /// Stops all callers after their current requests. To be called once.
    /// @param events receives all calls.
    void stop(history::history &events);

    /// Waits until @p count more requests were answered.
    /// @return false if that does not happen within the limit.
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
