#pragma once

#include <mutex>

namespace clementinebeam {

/// Position of a lock in the global lock order; a thread must acquire locks in ascending order.
enum class lock_rank {
    ShardTable = 40, ///< Shard controllers, ledgers and replays.
    RoutingTable = 60,
    TargetTable = 70,
    ConnectionPool = 80,
    PeerTable = 90,
    AuditTable = 100,
};

/// Mutex with a position in the global lock order.
///
/// In builds with CLEMENTINEBEAM_CHECK_LOCKS, acquiring it while the thread holds a mutex of equal
/// or higher rank logs the violation and aborts the process.
class ordered_mutex
{
public:
    /// @param rank position in the global lock order.
    explicit ordered_mutex(lock_rank rank)
        : m_rank(rank)
    { }

    void lock();
    void unlock();
    bool try_lock(); // NOLINT(readability-identifier-naming)

private:
    std::mutex m_mutex;
    const lock_rank m_rank;
};

using ordered_lock = std::unique_lock<ordered_mutex>;

} // namespace clementinebeam
